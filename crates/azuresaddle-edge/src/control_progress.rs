//! When control last did its work, for threads that depend on it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// Value of [`ControlProgress::store_answered`] before the first answer.
const NEVER: u64 = u64::MAX;

/// Time since control's last check after which its snapshot may be outdated.
const MAX_IDLE: Duration = Duration::from_secs(1);

/// When control last checked its state, and when it last received an answer from the store.
#[derive(Debug)]
pub(crate) struct ControlProgress {
    opened_at: Instant,
    /// Milliseconds from `opened_at` to the last check.
    checked: AtomicU64,
    /// Number of checks.
    checks: AtomicU64,
    /// Milliseconds from `opened_at` to the last answer of the store; [`NEVER`] before the first one.
    store_answered: AtomicU64,
    /// Whether other nodes have had a newer configuration for a while.
    is_behind: AtomicBool,
}

impl ControlProgress {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            opened_at: now,
            checked: AtomicU64::new(0),
            checks: AtomicU64::new(0),
            store_answered: AtomicU64::new(NEVER),
            is_behind: AtomicBool::new(false),
        }
    }

    /// Records that control has checked its state; what it has published is all that it knows.
    pub(crate) fn on_check(&self, now: Instant) {
        self.checked.store(self.millis(now), Ordering::Relaxed);
        self.checks.fetch_add(1, Ordering::Relaxed);
    }

    /// Number of checks so far.
    pub(crate) fn checks(&self) -> u64 {
        self.checks.load(Ordering::Relaxed)
    }

    /// Records whether other nodes have had a newer configuration for a while.
    pub(crate) fn set_behind(&self, is_behind: bool) {
        self.is_behind.store(is_behind, Ordering::Relaxed);
    }

    /// Whether the latest snapshot may have an older configuration than other nodes.
    pub(crate) fn may_be_outdated(&self, now: Instant) -> bool {
        self.is_behind.load(Ordering::Relaxed) || self.idle_for(now) >= MAX_IDLE
    }

    /// Records an answer of the store.
    pub(crate) fn on_store_answer(&self, now: Instant) {
        self.store_answered
            .store(self.millis(now), Ordering::Relaxed);
    }

    /// Time since control last checked its state.
    pub(crate) fn idle_for(&self, now: Instant) -> Duration {
        self.since(now, self.checked.load(Ordering::Relaxed))
    }

    /// Time since the store last answered this node; `None` if it never has.
    pub(crate) fn store_age(&self, now: Instant) -> Option<Duration> {
        let answered = self.store_answered.load(Ordering::Relaxed);
        (answered != NEVER).then(|| self.since(now, answered))
    }

    fn millis(&self, now: Instant) -> u64 {
        let since = now.saturating_duration_since(self.opened_at);
        since.as_millis() as u64
    }

    fn since(&self, now: Instant, millis: u64) -> Duration {
        now.saturating_duration_since(self.opened_at)
            .saturating_sub(Duration::from_millis(millis))
    }
}
