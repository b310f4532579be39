//! Tracks what a connection is doing, from the bytes that pass and the answers in progress.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

use super::head_buffer::HeadBuffer;
use crate::forward::{AnswerWatch, InFlightAnswerGuard};

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Activity {
    /// No request, since this time.
    Idle(Instant),
    /// The head of a request began to arrive at this time and is incomplete.
    ReadingHead(Instant),
    /// A request is being answered.
    Answering,
    /// The answer is complete, and parts of it wait to be written.
    Writing,
}

/// Shared state of a connection's activity.
#[derive(Clone, Debug)]
pub(super) struct ConnectionActivity(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    activity: Activity,
    /// Whether bytes of the next request arrived while the answer was written.
    has_next: bool,
    /// Guards of the complete answers that are not written yet.
    unwritten: Vec<InFlightAnswerGuard>,
    /// The latest answer, parts of which may wait in the connection after its body has ended.
    watch: Option<AnswerWatch>,
}

impl ConnectionActivity {
    pub(super) fn new() -> Self {
        Self(Arc::new(Mutex::new(State {
            activity: Activity::Idle(Instant::now()),
            has_next: false,
            unwritten: Vec::new(),
            watch: None,
        })))
    }

    pub(super) fn activity(&self) -> Activity {
        self.lock().activity
    }

    /// The latest answer; `None` before the first.
    pub(super) fn watch(&self) -> Option<AnswerWatch> {
        self.lock().watch.clone()
    }

    /// Sets the latest answer.
    pub(super) fn set_watch(&self, watch: AnswerWatch) {
        self.lock().watch = Some(watch);
    }

    /// Marks the connection as answering until the guard is dropped.
    pub(super) fn begin_answer(&self) -> AnsweringGuard {
        let mut state = self.lock();
        state.activity = Activity::Answering;
        state.has_next = false;
        AnsweringGuard {
            activity: self.clone(),
            in_flight: None,
        }
    }

    /// Records that the library has the whole answer.
    fn on_answered(&self, in_flight: Option<InFlightAnswerGuard>) {
        let mut state = self.lock();
        state.activity = Activity::Writing;
        state.unwritten.extend(in_flight);
    }

    /// Records that the library has written all that it had.
    fn on_written(&self) {
        let mut state = self.lock();
        state.unwritten.clear();
        if state.activity == Activity::Writing {
            let now = Instant::now();
            state.activity = if std::mem::take(&mut state.has_next) {
                Activity::ReadingHead(now)
            } else {
                Activity::Idle(now)
            };
        }
    }

    fn on_received(&self) {
        let mut state = self.lock();
        match state.activity {
            Activity::Idle(_) => state.activity = Activity::ReadingHead(Instant::now()),
            Activity::Writing => state.has_next = true,
            Activity::ReadingHead(_) | Activity::Answering => {}
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Marks the answer as complete when dropped.
#[derive(Debug)]
pub(super) struct AnsweringGuard {
    activity: ConnectionActivity,
    in_flight: Option<InFlightAnswerGuard>,
}

impl AnsweringGuard {
    /// Keeps the guard of an answer until the answer is written.
    pub(super) fn keep(&mut self, in_flight: InFlightAnswerGuard) {
        self.in_flight = Some(in_flight);
    }
}

impl Drop for AnsweringGuard {
    fn drop(&mut self) {
        self.activity.on_answered(self.in_flight.take());
    }
}

/// A byte stream that records in [`ConnectionActivity`] when bytes arrive and when all are written, and counts the bytes of
/// long heads.
#[derive(Debug)]
pub(super) struct TrackedStream<S> {
    stream: S,
    activity: ConnectionActivity,
    head: HeadBuffer,
}

impl<S> TrackedStream<S> {
    pub(super) fn new(stream: S, activity: ConnectionActivity, head: HeadBuffer) -> Self {
        Self {
            stream,
            activity,
            head,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for TrackedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = std::task::ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        let count = buf.filled().len() - before;
        if count > 0 {
            self.activity.on_received();
            let activity = self.activity.activity();
            self.head.on_received(activity, count)?;
        }
        Poll::Ready(result)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for TrackedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    /// The library flushes the stream once it has written everything that it buffered.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.activity.on_written();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
}
