//! Bodies that can break off.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use thiserror::Error;
use tokio::sync::mpsc;

/// The server broke off.
#[derive(Clone, Copy, Debug, Error)]
#[error("broken off by a fault")]
pub(super) struct BodyAborted;

/// A body that is fed piece by piece; it breaks off unless it is ended by [`Chunk::End`].
#[derive(Debug)]
pub(super) struct ChannelBody(pub(super) mpsc::UnboundedReceiver<Chunk>);

/// A piece of a body.
#[derive(Clone, Debug)]
pub(super) enum Chunk {
    Data(Bytes),
    End,
}

impl ChannelBody {
    /// A body that is there as a whole.
    pub(super) fn whole(bytes: impl Into<Bytes>) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let bytes = bytes.into();
        if !bytes.is_empty() {
            // The receiver is held here.
            let _ = tx.send(Chunk::Data(bytes));
        }
        let _ = tx.send(Chunk::End);
        Self(rx)
    }
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        let piece = std::task::ready!(self.0.poll_recv(cx));
        Poll::Ready(match piece {
            Some(Chunk::Data(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(Chunk::End) => None,
            None => Some(Err(BodyAborted)),
        })
    }
}
