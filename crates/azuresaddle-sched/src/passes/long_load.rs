//! Recent arrivals of long prompts, to tell how long a new one would wait.
//!
//! Answers the pattern of an overload: prompts that read quicker find room sooner, and while they ask
//! for nearly all engines, a very long one waits until the load ends. Held to the end it would have
//! cost its caller all of its time for nothing.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Time over which arrivals count: long enough for a dozen, short enough to see a change of load.
const WINDOW: Duration = Duration::from_secs(4);

/// Part of the engines' time that long prompts can't use, since answers are written.
const DECODE_SHARE: f64 = 0.3;

/// Least part of the engines that a prompt is expected to find however high the load; a lower one refuses the
/// largest prompts at once.
const MIN_FREE_SHARE: f64 = 0.2;

/// Arrivals within the window.
#[derive(Debug, Default)]
pub(super) struct LongLoad {
    arrivals: VecDeque<(Instant, f64)>,
}

impl LongLoad {
    /// Notes a long prompt.
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

    /// Part of the engines that a prompt can expect, beside those that read quicker.
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
