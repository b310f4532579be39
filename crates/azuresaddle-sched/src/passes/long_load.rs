//! Recent arrivals of long prompts, used to estimate how long a new one will wait.
//!
//! In an overload, prompts with a shorter prefill find capacity first. While they need nearly all
//! engines, a very long prompt waits until the overload ends; holding it that long would use up its
//! caller's time for nothing.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Time window over which arrivals count: long enough for about a dozen, short enough to notice a
/// change of load.
const WINDOW: Duration = Duration::from_secs(4);

/// Fraction of the engines' time that goes to decoding and is not available for long prompts.
const DECODE_SHARE: f64 = 0.3;

/// Minimum fraction of the engines that a prompt is expected to get under any load. A lower value
/// refuses the largest prompts at once.
const MIN_FREE_SHARE: f64 = 0.2;

/// Arrivals of long prompts within the window.
#[derive(Debug, Default)]
pub(super) struct LongLoad {
    arrivals: VecDeque<(Instant, f64)>,
}

impl LongLoad {
    /// Records the arrival of a long prompt that takes `prefill_ms` milliseconds on one engine.
    pub(super) fn on_arrival(&mut self, now: Instant, prefill_ms: f64) {
        self.arrivals.push_back((now, prefill_ms));
        while self
            .arrivals
            .front()
            .is_some_and(|(at, _)| now.saturating_duration_since(*at) > WINDOW)
        {
            self.arrivals.pop_front();
        }
    }

    /// Fraction of the engines left to a prompt by those with a shorter prefill.
    pub(super) fn free_share(&self, now: Instant, prefill_ms: f64, engines: usize) -> f64 {
        let recent = self
            .arrivals
            .iter()
            .filter(|(at, ms)| now.saturating_duration_since(*at) <= WINDOW && *ms < prefill_ms);
        let offered_ms: f64 = recent.map(|(_, ms)| ms).sum();
        let capacity_ms = WINDOW.as_secs_f64() * 1000.0 * engines.max(1) as f64;
        (1.0 - DECODE_SHARE - offered_ms / capacity_ms).max(MIN_FREE_SHARE)
    }
}
