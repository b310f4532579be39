//! Tracks what a connection is doing, from received bytes and answers in progress.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

use super::head_buffer::HeadBuffer;
use crate::forward::AnswerWatch;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Activity {
    /// No request, since this time.
    Idle(Instant),
    /// The head of a request began to arrive at this time and is incomplete.
    ReadingHead(Instant),
    /// A request is being answered.
    Answering,
}

/// Shared state of a connection's activity.
#[derive(Clone, Debug)]
pub(super) struct ConnectionActivity(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    activity: Activity,
    /// The latest answer, parts of which may wait in the connection after its body has ended.
    watch: Option<AnswerWatch>,
}

impl ConnectionActivity {
    pub(super) fn new() -> Self {
        Self(Arc::new(Mutex::new(State {
            activity: Activity::Idle(Instant::now()),
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
        self.lock().activity = Activity::Answering;
        AnsweringGuard(self.clone())
    }

    fn on_received(&self) {
        let mut state = self.lock();
        if let Activity::Idle(_) = state.activity {
            state.activity = Activity::ReadingHead(Instant::now());
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Marks the connection as idle when dropped.
#[derive(Debug)]
pub(super) struct AnsweringGuard(ConnectionActivity);

impl Drop for AnsweringGuard {
    fn drop(&mut self) {
        self.0.lock().activity = Activity::Idle(Instant::now());
    }
}

/// A byte stream that records the arrival of bytes in [`ConnectionActivity`], and counts those of long heads.
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

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
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
