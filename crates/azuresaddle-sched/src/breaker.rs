//! Circuit breaker of a target, with slow return.

use std::time::Duration;

use tokio::time::Instant;

/// Failures in a row that open the breaker.
const FAILURES_TO_OPEN: u32 = 2;

/// First pause after the breaker opens.
const INITIAL_OPEN_TIME: Duration = Duration::from_secs(1);

/// Longest pause.
const MAX_OPEN_TIME: Duration = Duration::from_secs(30);

/// Reservations allowed at a time at which the breaker counts as closed.
const FULL_RECOVERY: u32 = 16;

/// Keeps work from a failing target and lets it return step by step.
#[derive(Clone, Debug)]
pub struct Breaker {
    failures: u32,
    open_time: Duration,
    open_until: Option<Instant>,
    /// Reservations allowed at a time during the return; `None` when closed.
    max_concurrent: Option<u32>,
}

impl Default for Breaker {
    fn default() -> Self {
        Self {
            failures: 0,
            open_time: INITIAL_OPEN_TIME,
            open_until: None,
            max_concurrent: None,
        }
    }
}

impl Breaker {
    /// Whether one more reservation is allowed beside those that run.
    pub fn allows(&self, now: Instant, running: usize) -> bool {
        if self.open_until.is_some_and(|until| now < until) {
            return false;
        }
        self.max_concurrent
            .is_none_or(|max_concurrent| running < max_concurrent as usize)
    }

    /// When the breaker lets a request through again, while it is open.
    pub fn open_until(&self, now: Instant) -> Option<Instant> {
        self.open_until.filter(|until| *until > now)
    }

    /// Notes a request that the target served.
    pub fn on_success(&mut self) {
        self.failures = 0;
        let Some(max_concurrent) = self.max_concurrent else {
            return;
        };
        let doubled = max_concurrent * 2;
        self.max_concurrent = (doubled < FULL_RECOVERY).then_some(doubled);
        if self.max_concurrent.is_none() {
            self.open_time = INITIAL_OPEN_TIME;
            self.open_until = None;
        }
    }

    /// Notes a request that the target rejected with a back-off for its sender.
    ///
    /// Several such rejections open the breaker, but never for longer than the back-off, and without making the next
    /// pause longer.
    pub fn on_back_off(&mut self, now: Instant, time: Duration) {
        self.failures += 1;
        if self.failures < FAILURES_TO_OPEN || self.open_until(now).is_some() {
            return;
        }
        self.open_until = Some(now + time.min(INITIAL_OPEN_TIME));
        self.max_concurrent.get_or_insert(1);
    }

    /// Notes a request that the target failed.
    pub fn on_failure(&mut self, now: Instant) {
        self.failures += 1;
        let recovering = self.max_concurrent.is_some();
        if self.failures < FAILURES_TO_OPEN && !recovering {
            return;
        }
        if self.open_until(now).is_some() {
            return;
        }
        if recovering {
            self.open_time = (self.open_time * 2).min(MAX_OPEN_TIME);
        }
        self.open_until = Some(now + self.open_time);
        self.max_concurrent = Some(1);
    }
}
