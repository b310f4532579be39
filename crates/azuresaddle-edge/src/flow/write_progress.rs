//! Whether the peer of a connection takes what is written to it.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Poll;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// How much of what is written to a connection its peer has taken; clones share the state.
#[derive(Clone, Debug, Default)]
pub(crate) struct WriteProgress(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    /// Notified when a write begins to wait.
    blocked: Notify,
}

#[derive(Debug, Default)]
struct State {
    /// Bytes taken so far.
    written: u64,
    /// Since when a write has waited without a byte being taken.
    blocked_since: Option<Instant>,
    is_closed: bool,
}

impl WriteProgress {
    /// Number of bytes that were taken so far.
    pub(crate) fn written(&self) -> u64 {
        self.lock().written
    }

    /// Since when a write has waited without a byte being taken; `None` if none waits.
    pub(crate) fn blocked_since(&self) -> Option<Instant> {
        self.lock().blocked_since
    }

    /// Waits until a write waits for the peer. Supports one waiting task.
    pub(crate) async fn until_blocked(&self) -> Instant {
        loop {
            if let Some(since) = self.blocked_since() {
                return since;
            }
            self.0.blocked.notified().await;
        }
    }

    /// Waits until a write has waited for `time` without a byte being taken. Supports one waiting task.
    pub(crate) async fn until_stalled(&self, time: Duration) {
        loop {
            let due = self.until_blocked().await + time;
            if Instant::now() >= due {
                return;
            }
            tokio::time::sleep_until(due).await;
        }
    }

    /// Makes all later writes fail if exactly `written` bytes were taken so far. Returns whether later writes fail.
    pub(crate) fn close_if_written(&self, written: u64) -> bool {
        let mut state = self.lock();
        state.is_closed |= state.written == written;
        state.is_closed
    }

    /// Runs a write and records its result.
    pub(super) fn record_write(
        &self,
        write: impl FnOnce() -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let mut state = self.lock();
        if state.is_closed {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        // The lock is held meanwhile, so that no write succeeds after `close_if_written` has returned.
        let result = write();
        match &result {
            Poll::Ready(Ok(count)) => {
                state.written += *count as u64;
                state.blocked_since = None;
            }
            Poll::Ready(Err(_)) => state.blocked_since = None,
            Poll::Pending if state.blocked_since.is_none() => {
                state.blocked_since = Some(Instant::now());
                self.0.blocked.notify_one();
            }
            Poll::Pending => {}
        }
        result
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
