//! Level of the demand for one sort of prompt.

use std::time::Duration;

use tokio::time::Instant;

use super::INTERVAL;
use super::change_test::ChangeTest;
use super::counter::Counter;
use super::decayed_mean::DecayedMean;
use super::estimate::Estimate;
use super::level_change::LevelChange;
use super::sort::Sort;

/// Time constant of the fast estimate: the time within which short prompts must begin.
const FAST: Duration = Duration::from_millis(500);

/// Time constant of the slow estimate: the shortest usual phase.
const SLOW: Duration = Duration::from_secs(8);

/// Weight of the slow estimate, in intervals, below which it is no level to compare with. A test
/// against an estimate from fewer intervals finds changes in noise.
const MIN_TEST_WEIGHT: f64 = 10.0;

/// Change of a level before its sort is known.
#[derive(Clone, Copy, Debug)]
pub(super) struct RateChange {
    from_per_s: f64,
    to_per_s: f64,
}

impl RateChange {
    pub(super) fn of(self, sort: Sort) -> LevelChange {
        LevelChange {
            sort,
            from_per_s: self.from_per_s,
            to_per_s: self.to_per_s,
        }
    }
}

/// Estimates of the demand for one sort of prompt.
#[derive(Clone, Debug)]
pub(super) struct Level {
    interval: Counter,
    fast: DecayedMean,
    slow: DecayedMean,
    test: ChangeTest,
    changed_at: Option<Instant>,
}

impl Default for Level {
    fn default() -> Self {
        Self {
            interval: Counter::default(),
            fast: DecayedMean::new(FAST),
            slow: DecayedMean::new(SLOW),
            test: ChangeTest::default(),
            changed_at: None,
        }
    }
}

impl Level {
    pub(super) fn on_arrival(&mut self, work_ms: f64) {
        self.interval.on_arrival(work_ms);
    }

    /// Ends the present interval, and returns the change of level if it shows one.
    pub(super) fn close_interval(&mut self, now: Instant) -> Option<RateChange> {
        let interval = std::mem::take(&mut self.interval);
        let before = self.slow.mean().arrivals;
        let is_settled = self.slow.weight() >= MIN_TEST_WEIGHT;
        self.fast.add(interval);
        self.slow.add(interval);
        if !is_settled {
            return None;
        }
        let changed = self.test.add(interval, before)?;
        // The fast estimate still holds intervals from before the change.
        self.fast.restart(changed.sum, changed.intervals);
        self.slow.restart(changed.sum, changed.intervals);
        self.changed_at = Some(now);
        Some(RateChange {
            from_per_s: per_s(before),
            to_per_s: per_s(self.slow.mean().arrivals),
        })
    }

    pub(super) fn changed_at(&self) -> Option<Instant> {
        self.changed_at
    }

    /// Expected arrivals per second.
    pub(super) fn rate(&self) -> Estimate {
        let per_interval = self.blend().arrivals;
        self.estimate(per_interval, per_interval)
    }

    /// Expected prefill work per second.
    pub(super) fn work(&self) -> Estimate {
        let blend = self.blend();
        self.estimate(blend.work_ms, blend.squared_work)
    }

    fn estimate(&self, mean: f64, variance: f64) -> Estimate {
        let weight = self.fast.weight().max(1.0);
        Estimate {
            per_s: per_s(mean),
            error: per_s((variance / weight).sqrt()),
        }
    }

    /// The slow mean, moved toward the fast one as far as noise does not explain their difference.
    fn blend(&self) -> Counter {
        let (fast, slow) = (self.fast.mean(), self.slow.mean());
        let noise = slow.arrivals.max(fast.arrivals) / self.fast.weight().max(1.0);
        let squared = (fast.arrivals - slow.arrivals).powi(2);
        let fast_share = if squared > 0.0 {
            squared / (squared + noise)
        } else {
            0.0
        };
        fast * fast_share + slow * (1.0 - fast_share)
    }
}

fn per_s(per_interval: f64) -> f64 {
    per_interval / INTERVAL.as_secs_f64()
}
