//! A body that keeps a connection's activity until it is written.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::connection_clock::AnsweringGuard;
use crate::forward::{BrokenOff, ProxyBody};

/// A body with the guard of its connection.
#[derive(Debug)]
pub(super) struct Guarded {
    body: ProxyBody,
    _answering: AnsweringGuard,
}

impl Guarded {
    pub(super) fn new(body: ProxyBody, answering: AnsweringGuard) -> Self {
        Self {
            body,
            _answering: answering,
        }
    }
}

impl Body for Guarded {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
