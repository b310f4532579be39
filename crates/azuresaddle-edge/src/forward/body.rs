//! Bodies of answers to callers.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::sync::mpsc;
use tokio_util::sync::DropGuard;

/// The answer ended before it was complete. The error closes the caller's connection, so the caller sees that the
/// answer is truncated.
#[derive(Clone, Copy, Debug, Error)]
#[error("the answer ended before it was complete")]
pub(crate) struct AnswerAborted;

/// Counts unfinished answers.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlightAnswers(Arc<AtomicUsize>);

impl InFlightAnswers {
    pub(crate) fn begin(&self) -> InFlightAnswerGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        InFlightAnswerGuard(Arc::clone(&self.0))
    }

    pub(crate) fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Counts as one unfinished answer until dropped.
#[derive(Debug)]
pub(crate) struct InFlightAnswerGuard(Arc<AtomicUsize>);

impl Drop for InFlightAnswerGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A part of a relayed answer.
#[derive(Clone, Debug)]
pub(crate) enum BodyChunk {
    /// Bytes to forward.
    Data(Bytes),
    /// The answer is complete. If the channel closes without this, the answer is aborted.
    End,
}

/// Body of an answer: in memory, or relayed as it arrives.
#[derive(Debug)]
pub(crate) struct ProxyBody {
    kind: BodyKind,
    /// Dropped when the answer has been written or is abandoned.
    in_flight: Option<InFlightAnswerGuard>,
}

#[derive(Debug)]
enum BodyKind {
    Full(Option<Bytes>),
    Relayed {
        chunks: mpsc::Receiver<BodyChunk>,
        /// Cancels the relay when the caller disconnects.
        _cancel: DropGuard,
    },
}

impl ProxyBody {
    pub(crate) fn full(bytes: impl Into<Bytes>) -> Self {
        Self {
            kind: BodyKind::Full(Some(bytes.into())),
            in_flight: None,
        }
    }

    pub(crate) fn relayed(chunks: mpsc::Receiver<BodyChunk>, cancel: DropGuard) -> Self {
        Self {
            kind: BodyKind::Relayed {
                chunks,
                _cancel: cancel,
            },
            in_flight: None,
        }
    }

    /// Counts the answer as in flight until this body is dropped.
    pub(crate) fn with_in_flight_guard(mut self, guard: InFlightAnswerGuard) -> Self {
        self.in_flight = Some(guard);
        self
    }
}

impl Body for ProxyBody {
    type Data = Bytes;
    type Error = AnswerAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerAborted>>> {
        match &mut self.kind {
            BodyKind::Full(bytes) => {
                let bytes = bytes.take().filter(|b| !b.is_empty());
                Poll::Ready(bytes.map(|b| Ok(Frame::data(b))))
            }
            BodyKind::Relayed { chunks, .. } => {
                let chunk = std::task::ready!(chunks.poll_recv(cx));
                Poll::Ready(match chunk {
                    Some(BodyChunk::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                    Some(BodyChunk::End) => None,
                    None => Some(Err(AnswerAborted)),
                })
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.kind {
            BodyKind::Full(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            BodyKind::Relayed { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            BodyKind::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            BodyKind::Relayed { .. } => SizeHint::default(),
        }
    }
}
