//! Slowdown of an engine relative to a reference engine.
//!
//! An engine may become slow without failing, and every prompt with a part there then waits for it.
//! An overdue first event makes its engines suspected of slowness, and a probe of the engine's own
//! load report confirms or clears it.

use std::time::Duration;

use azuresaddle_core::bounded_time::scaled;
use tokio::time::Instant;

/// Minimum time between two probes of one engine; its report is some hundred milliseconds old.
const MIN_INTERVAL: Duration = Duration::from_millis(400);

/// Time after which a slow engine is probed again, so that it is used soon after it recovers.
const RECHECK_INTERVAL: Duration = Duration::from_millis(1000);

/// Factor from which an engine counts as slow. Healthy engines differ by less.
const SLOW_FACTOR: f64 = 1.15;

/// Upper limit for reported factors; nothing can be placed on such an engine in any case.
const MAX_FACTOR: f64 = 50.0;

/// Fixed tolerance for a first event beyond its expected time, for the path between engine, node
/// and owner.
const OVERDUE_SLACK: Duration = Duration::from_millis(45);

/// Additional tolerance, as a fraction of the expected time.
const OVERDUE_SHARE: f64 = 0.25;

/// Known pace of an engine and the state of its probes.
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
    /// Slowdown relative to a reference engine; 1 for full speed.
    pub(super) fn factor(&self) -> f64 {
        self.factor
    }

    pub(super) fn is_slow(&self) -> bool {
        self.factor >= SLOW_FACTOR
    }

    /// Marks the engine as suspected of slowness after an overdue first event.
    pub(super) fn mark_suspected(&mut self) {
        self.is_suspected = true;
    }

    /// Applies a factor reported by the engine; invalid values are ignored.
    pub(super) fn on_report(&mut self, factor: f64) {
        if factor.is_finite() && factor > 0.0 {
            self.factor = factor.clamp(1.0, MAX_FACTOR);
        }
    }

    /// Whether the engine should be probed now.
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

    /// Time of the last probe.
    pub(super) fn last_probe_at(&self) -> Option<Instant> {
        self.last_probe_at
    }

    /// Records that the engine is being probed.
    pub(super) fn on_probe(&mut self, now: Instant) {
        self.is_suspected = false;
        self.last_probe_at = Some(now);
    }
}

/// Time at which a first event that is expected after `expected_in` counts as overdue.
pub fn overdue_at(now: Instant, expected_in: Duration) -> Instant {
    now + scaled(expected_in, 1.0 + OVERDUE_SHARE) + OVERDUE_SLACK
}
