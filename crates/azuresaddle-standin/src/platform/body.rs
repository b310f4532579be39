//! Response bodies that a fault can abort.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use thiserror::Error;
use tokio::sync::mpsc;

/// The server aborted the body.
#[derive(Clone, Copy, Debug, Error)]
#[error("body aborted by an injected fault")]
pub(super) struct BodyAborted;

/// A body fed through a channel; it aborts with an error if the channel closes before [`Chunk::End`].
#[derive(Debug)]
pub(super) struct ChannelBody(pub(super) mpsc::UnboundedReceiver<Chunk>);

/// An item of a [`ChannelBody`].
#[derive(Clone, Debug)]
pub(super) enum Chunk {
    Data(Bytes),
    End,
}

impl ChannelBody {
    /// Returns a body whose content is complete.
    pub(super) fn whole(bytes: impl Into<Bytes>) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let bytes = bytes.into();
        if !bytes.is_empty() {
            // Sending can't fail: this function holds the receiver.
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
