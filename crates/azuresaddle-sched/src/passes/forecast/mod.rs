//! Forecast of the demand of the next few hundred milliseconds.
//!
//! Load pattern: phases of 2 to 30 s that alternate between mostly short and mostly long prompts,
//! slow waves, single spikes, and noise. An average over seconds keeps the mix of the previous
//! phase for as long as the average is, and an average over tenths of a second follows every random
//! cluster of arrivals. So each sort of prompt has a fast and a slow estimate, and a test that finds
//! changes of level, after which the slow estimate starts again.

mod change_test;
mod counter;
mod decayed_mean;
mod estimate;
mod level;
mod level_change;
mod sort;

use std::time::Duration;

use tokio::time::Instant;

pub use self::estimate::Estimate;
use self::level::Level;
pub use self::level_change::LevelChange;
pub use self::sort::Sort;

/// Length of the intervals in which arrivals are counted. A change must be found within 0.3 s, and
/// this gives the test six counts by then.
const INTERVAL: Duration = Duration::from_millis(50);

/// Time after a handover in which arrivals do not count. Callers that waited for the new owner
/// return together, which says nothing about the rate of new requests.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Time for which arrivals must have been counted before there is a forecast: two time constants of
/// the fast estimate.
const WARM_UP: Duration = Duration::from_secs(1);

/// Time without any call after which the forecast begins again, since nothing is known about the
/// arrivals meanwhile. It is the time constant of the slow estimate.
const MAX_GAP: Duration = Duration::from_secs(8);

/// Forecast of the arrivals and the prefill work of each sort of prompt.
///
/// All times must be those of the owner of the pool; a time before an earlier one counts as that.
#[derive(Clone, Debug, Default)]
pub struct DemandForecast {
    /// Start of the first counted interval; `None` before the first arrival.
    counted_from: Option<Instant>,
    /// Start of the interval that is being counted.
    interval_from: Option<Instant>,
    levels: [Level; 3],
    changes: Vec<LevelChange>,
}

impl DemandForecast {
    /// Records the arrival of a prompt that takes `work_ms` milliseconds to prefill on one engine.
    pub fn on_arrival(&mut self, now: Instant, sort: Sort, work_ms: f64) {
        let Some(from) = self.interval_from else {
            self.on_handover(now);
            return;
        };
        self.advance(now);
        if now >= from {
            self.levels[sort.index()].on_arrival(work_ms);
        }
    }

    /// Begins again because this node now owns the pool.
    pub fn on_handover(&mut self, now: Instant) {
        let from = now + SETTLE_TIME;
        *self = Self {
            counted_from: Some(from),
            interval_from: Some(from),
            ..Self::default()
        };
    }

    /// Closes the intervals that have ended.
    pub fn advance(&mut self, now: Instant) {
        let Some(mut from) = self.interval_from else {
            return;
        };
        if now.saturating_duration_since(from) > MAX_GAP {
            self.on_handover(now);
            return;
        }
        while from + INTERVAL <= now {
            from += INTERVAL;
            for sort in Sort::ALL {
                let change = self.levels[sort.index()].close_interval(from);
                self.changes.extend(change.map(|c| c.of(sort)));
            }
        }
        self.interval_from = Some(from);
    }

    /// Expected arrivals per second; `None` until enough arrivals were seen.
    pub fn rate(&self, sort: Sort) -> Option<Estimate> {
        self.is_warm().then(|| self.levels[sort.index()].rate())
    }

    /// Expected prefill work in engine milliseconds per second; `None` until enough arrivals were
    /// seen.
    pub fn work(&self, sort: Sort) -> Option<Estimate> {
        self.is_warm().then(|| self.levels[sort.index()].work())
    }

    /// When the level of a sort last changed; `None` if it has not since the handover.
    pub fn level_changed_at(&self, sort: Sort) -> Option<Instant> {
        self.levels[sort.index()].changed_at()
    }

    /// Returns the changes of level that were found since the last call.
    pub fn take_changes(&mut self) -> Vec<LevelChange> {
        std::mem::take(&mut self.changes)
    }

    fn is_warm(&self) -> bool {
        let counted = self.counted_from.zip(self.interval_from);
        counted.is_some_and(|(first, last)| last.saturating_duration_since(first) >= WARM_UP)
    }
}
