//! Offered load by class, and the number of targets that may run long prefills.

use std::time::Duration;

use tokio::time::Instant;

use crate::class::Class;

/// Time constant of the load average by class, short first; long prompts are rare, so theirs is
/// longer.
const WINDOWS: [Duration; 2] = [Duration::from_secs(60), Duration::from_secs(300)];

/// Targets kept for short prompts beyond their mean load, in standard deviations of that load.
const STAFFING_MARGIN: f64 = 0.6;

/// Fraction of the targets that may run long prefills before any load has been measured.
const INITIAL_LONG_SHARE: f64 = 0.8;

/// Utilization by long prefills above which they get one more target.
const MAX_LONG_UTILIZATION: f64 = 0.97;

/// Offered prefill load by class, in number of busy targets.
#[derive(Debug)]
pub(crate) struct Demand {
    started: Instant,
    updated: Instant,
    busy_targets: [f64; 2],
}

impl Demand {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            started: now,
            updated: now,
            busy_targets: [0.0; 2],
        }
    }

    /// Records the arrival of a request with `work` of expected prefill time.
    pub(crate) fn on_arrival(&mut self, now: Instant, class: Class, work: Duration) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = now;
        for (load, window) in self.busy_targets.iter_mut().zip(WINDOWS) {
            *load *= (-elapsed / window.as_secs_f64()).exp();
        }
        let window = WINDOWS[class.index()].as_secs_f64();
        self.busy_targets[class.index()] += work.as_secs_f64() / window;
    }

    /// Mean load of a class, corrected for a window that is not yet full after the start.
    fn load(&self, class: Class) -> f64 {
        let window = WINDOWS[class.index()].as_secs_f64();
        let age = (self.updated - self.started).as_secs_f64();
        let filled = 1.0 - (-age / window).exp();
        self.busy_targets[class.index()] / filled.max(0.1)
    }

    /// Maximum number of `targets` that may run long prefills concurrently.
    ///
    /// The rest is reserved for short prompts by square-root staffing: their mean load plus a
    /// margin proportional to its square root.
    pub(crate) fn max_long_targets(&self, targets: usize) -> usize {
        if targets <= 1 {
            return targets;
        }
        let short = self.load(Class::Short);
        let total = targets as f64;
        if short == 0.0 && self.updated == self.started {
            return ((total * INITIAL_LONG_SHARE) as usize).max(1);
        }
        let kept = short + STAFFING_MARGIN * short.sqrt();
        let needed = self.load(Class::Long) / MAX_LONG_UTILIZATION;
        let allowed = (total - kept).max(needed.min(total - short));
        (allowed.floor() as usize).clamp(1, targets - 1)
    }
}
