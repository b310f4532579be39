//! Bodies of answers to callers.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use azuresaddle_core::byte_budget::HeldBytes;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::time::Instant;
use tokio_util::sync::DropGuard;

use super::answer_bytes::AnswerBytes;
use super::answer_watch::AnswerWatch;
use super::event_buffer::{BodyChunk, EventReceiver};

/// The answer ended before it was complete. The error closes the caller's connection, so the caller sees that the
/// answer is truncated.
#[derive(Clone, Copy, Debug, Error)]
#[error("the answer ended before it was complete")]
pub(crate) struct AnswerAborted;

/// Counts answers that are not written yet.
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

/// Body of an answer: in memory, or relayed as it arrives.
#[derive(Debug)]
pub(crate) struct ProxyBody(BodyKind);

#[derive(Debug)]
enum BodyKind {
    Full(Option<HeldBytes>),
    Relayed {
        events: EventReceiver,
        /// Cancels the relay when the caller disconnects.
        _cancel: DropGuard,
    },
}

impl ProxyBody {
    /// A short answer of the node itself.
    pub(crate) fn full(bytes: impl Into<Bytes>) -> Self {
        Self::held(HeldBytes::uncounted(bytes))
    }

    /// A complete answer of a target.
    pub(super) fn held(bytes: HeldBytes) -> Self {
        Self(BodyKind::Full(Some(bytes)))
    }

    pub(super) fn relayed(events: EventReceiver, cancel: DropGuard) -> Self {
        Self(BodyKind::Relayed {
            events,
            _cancel: cancel,
        })
    }

    /// What decides when a caller that does not read this answer to `request` is disconnected. Once buffered completely,
    /// the answer is kept until `keep_until`.
    pub(crate) fn watch(&self, request: Option<Box<str>>, keep_until: Instant) -> AnswerWatch {
        let buffer = match &self.0 {
            BodyKind::Full(_) => None,
            BodyKind::Relayed { events, .. } => Some(events.state().clone()),
        };
        AnswerWatch {
            request,
            keep_until,
            buffer,
        }
    }
}

impl Body for ProxyBody {
    type Data = AnswerBytes;
    type Error = AnswerAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<AnswerBytes>, AnswerAborted>>> {
        match &mut self.0 {
            BodyKind::Full(bytes) => {
                let bytes = bytes.take().filter(|b| !b.is_empty());
                Poll::Ready(bytes.map(|b| Ok(Frame::data(AnswerBytes::complete(b)))))
            }
            BodyKind::Relayed { events, .. } => {
                let chunk = std::task::ready!(events.poll_next(cx));
                Poll::Ready(match chunk {
                    Some(BodyChunk::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                    Some(BodyChunk::End) => None,
                    None => Some(Err(AnswerAborted)),
                })
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.0 {
            BodyKind::Full(bytes) => bytes.as_ref().is_none_or(HeldBytes::is_empty),
            BodyKind::Relayed { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.0 {
            BodyKind::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            BodyKind::Relayed { .. } => SizeHint::default(),
        }
    }
}
