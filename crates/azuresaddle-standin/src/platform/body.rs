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
pub(super) struct Broken;

/// A body that is fed piece by piece; it breaks off unless it is ended by [`Piece::End`].
#[derive(Debug)]
pub(super) struct PieceBody(pub(super) mpsc::UnboundedReceiver<Piece>);

/// A piece of a body.
#[derive(Clone, Debug)]
pub(super) enum Piece {
    Data(Bytes),
    End,
}

impl PieceBody {
    /// A body that is there as a whole.
    pub(super) fn whole(bytes: impl Into<Bytes>) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let bytes = bytes.into();
        if !bytes.is_empty() {
            // The receiver is held here.
            let _ = tx.send(Piece::Data(bytes));
        }
        let _ = tx.send(Piece::End);
        Self(rx)
    }
}

impl Body for PieceBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let piece = std::task::ready!(self.0.poll_recv(cx));
        Poll::Ready(match piece {
            Some(Piece::Data(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(Piece::End) => None,
            None => Some(Err(Broken)),
        })
    }
}
