//! Circuit breaker of a target, with gradual recovery.

use std::time::Duration;

use tokio::time::Instant;

/// Consecutive failures that open the breaker.
const FAILURES_TO_OPEN: u32 = 2;

/// How long the breaker stays open the first time.
const INITIAL_OPEN_TIME: Duration = Duration::from_secs(1);

/// Longest time that the breaker stays open.
const MAX_OPEN_TIME: Duration = Duration::from_secs(30);

/// Concurrent reservations from which on the breaker counts as closed.
const FULL_RECOVERY: u32 = 16;

/// Stops sending work to a failing target, then readmits it in growing steps.
#[derive(Clone, Debug)]
pub struct Breaker {
    failures: u32,
    open_time: Duration,
    open_until: Option<Instant>,
    /// Concurrent reservations allowed during recovery; `None` when closed.
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
    /// Whether one more reservation is allowed in addition to the `running` ones.
    pub fn allows(&self, now: Instant, running: usize) -> bool {
        if self.open_until.is_some_and(|until| now < until) {
            return false;
        }
        self.max_concurrent
            .is_none_or(|max_concurrent| running < max_concurrent as usize)
    }

    /// When the breaker next lets a request through; `None` unless it is open.
    pub fn open_until(&self, now: Instant) -> Option<Instant> {
        self.open_until.filter(|until| *until > now)
    }

    /// Records a request that the target served.
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

    /// Records a request that the target rejected, asking the sender to back off for `time`.
    ///
    /// Consecutive rejections open the breaker, but for no longer than the requested back-off and without lengthening
    /// the next open time.
    pub fn on_back_off(&mut self, now: Instant, time: Duration) {
        self.failures += 1;
        if self.failures < FAILURES_TO_OPEN || self.open_until(now).is_some() {
            return;
        }
        self.open_until = Some(now + time.min(INITIAL_OPEN_TIME));
        self.max_concurrent.get_or_insert(1);
    }

    /// Records a request that failed on the target.
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
