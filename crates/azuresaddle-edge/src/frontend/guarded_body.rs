//! An answer body that marks its connection as answering until the library has all of it.

use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Body, Frame, SizeHint};

use super::connection_activity::AnsweringGuard;
use crate::forward::{AnswerAborted, AnswerBytes, ProxyBody};

/// A body with the guard that marks its connection as answering.
#[derive(Debug)]
pub(super) struct GuardedBody {
    body: ProxyBody,
    _answering: AnsweringGuard,
}

impl GuardedBody {
    pub(super) fn new(body: ProxyBody, answering: AnsweringGuard) -> Self {
        Self {
            body,
            _answering: answering,
        }
    }
}

impl Body for GuardedBody {
    type Data = AnswerBytes;
    type Error = AnswerAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<AnswerBytes>, AnswerAborted>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
