//! A direct path to a target that failed at its last attempt.

use tokio::time::Instant;

use super::{DIRECT_RETRY_INTERVAL, FAILURE_MEMORY};

#[derive(Debug)]
pub(super) struct DirectPath {
    pub(super) failed_at: Instant,
    /// When the direct path may next be tried.
    pub(super) retry_at: Instant,
    /// Whether another node connected to the target, so that it is the path that is lost.
    pub(super) is_tunneled: bool,
    /// Until when the target counts as down, since other nodes were refused as well.
    pub(super) down_until: Option<Instant>,
}

impl DirectPath {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            failed_at: now,
            retry_at: now + DIRECT_RETRY_INTERVAL,
            is_tunneled: false,
            down_until: None,
        }
    }

    pub(super) fn counts(&self, now: Instant) -> bool {
        now < self.failed_at + FAILURE_MEMORY
    }

    pub(super) fn is_down(&self, now: Instant) -> bool {
        self.down_until.is_some_and(|until| now < until)
    }
}
