//! Measures how long a target is silent.

use std::sync::{Mutex, PoisonError};

use tokio::sync::Notify;
use tokio::time::Instant;

/// Expires when a target has been silent for too long. It is stopped while the node waits for something other than the target.
#[derive(Debug, Default)]
pub(super) struct SilenceTimer {
    /// When it expires; `None` while it is stopped.
    expires_at: Mutex<Option<Instant>>,
    changed: Notify,
}

impl SilenceTimer {
    /// Starts the timer, or restarts it with another time.
    pub(super) fn start(&self, expires_at: Instant) {
        self.set(Some(expires_at));
    }

    pub(super) fn stop(&self) {
        self.set(None);
    }

    /// Waits until it expires.
    pub(super) async fn expired(&self) {
        loop {
            match self.expires_at() {
                None => self.changed.notified().await,
                Some(at) => tokio::select! {
                    () = self.changed.notified() => {}
                    () = tokio::time::sleep_until(at) => return,
                },
            }
        }
    }

    fn set(&self, expires_at: Option<Instant>) {
        *self
            .expires_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = expires_at;
        self.changed.notify_one();
    }

    fn expires_at(&self) -> Option<Instant> {
        *self
            .expires_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
