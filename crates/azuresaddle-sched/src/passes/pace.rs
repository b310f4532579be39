//! Speed of an engine against that of a usual one.
//!
//! Answers the pattern of an engine that turns slow without failing: every prompt with a part there
//! waits for it. First events that are overdue raise a suspicion; the engine's own report settles it.

use std::time::Duration;

use tokio::time::Instant;

/// Shortest time between two questions to one engine: its report is some hundred milliseconds old.
const MIN_INTERVAL: Duration = Duration::from_millis(400);

/// Time after which a slow engine is asked again, so that it returns soon after it has recovered.
const RECHECK_INTERVAL: Duration = Duration::from_millis(1000);

/// Factor from which an engine counts as slow; the differences between sound ones are smaller.
const SLOW_FACTOR: f64 = 1.15;

/// Largest factor that is believed; nothing can be placed on such an engine anyway.
const MAX_FACTOR: f64 = 50.0;

/// Time by which a first event may come after the expectation, for the ways between engine, node
/// and owner.
const OVERDUE_SLACK: Duration = Duration::from_millis(45);

/// Part of the expected time that is added to it.
const OVERDUE_SHARE: f64 = 0.25;

/// What is known of an engine's speed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    factor: f64,
    is_suspected: bool,
    last_probe_at: Option<Instant>,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            factor: 1.0,
            is_suspected: false,
            last_probe_at: None,
        }
    }
}

impl Pace {
    /// Time of the engine's work against that of a usual engine.
    pub(super) fn factor(&self) -> f64 {
        self.factor
    }

    pub(super) fn is_slow(&self) -> bool {
        self.factor >= SLOW_FACTOR
    }

    /// Notes that a first event is overdue there.
    pub(super) fn suspect(&mut self) {
        self.is_suspected = true;
    }

    /// Takes the engine's own word; a factor that makes no sense is ignored.
    pub(super) fn on_report(&mut self, factor: f64) {
        if factor.is_finite() && factor > 0.0 {
            self.factor = factor.clamp(1.0, MAX_FACTOR);
        }
    }

    /// Whether the engine should be asked now.
    pub(super) fn is_probe_due(&self, now: Instant) -> bool {
        let since = self
            .last_probe_at
            .map(|at| now.saturating_duration_since(at));
        match since {
            None => self.is_suspected || self.is_slow(),
            Some(since) => {
                (self.is_suspected && since >= MIN_INTERVAL)
                    || (self.is_slow() && since >= RECHECK_INTERVAL)
            }
        }
    }

    /// When the engine was last asked.
    pub(super) fn last_probe_at(&self) -> Option<Instant> {
        self.last_probe_at
    }

    /// Notes that the engine is asked.
    pub(super) fn on_probe(&mut self, now: Instant) {
        self.is_suspected = false;
        self.last_probe_at = Some(now);
    }
}

/// When a first event counts as overdue that is expected after a time.
pub(super) fn overdue_at(now: Instant, expected_in: Duration) -> Instant {
    now + expected_in.mul_f64(1.0 + OVERDUE_SHARE) + OVERDUE_SLACK
}
