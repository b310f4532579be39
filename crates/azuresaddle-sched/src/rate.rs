//! Rates learned online.

use std::time::Duration;

/// Weight of a new observation.
const GAIN: f64 = 0.2;

/// Shortest prefill that is learned from, in tokens; shorter ones measure the network.
const MIN_OBSERVED_TOKENS: f64 = 256.0;

/// Exponentially weighted mean of a target's prefill rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefillRate {
    tokens_per_second: f64,
}

impl PrefillRate {
    pub(crate) fn new(tokens_per_second: f64) -> Self {
        Self { tokens_per_second }
    }

    pub(crate) fn tokens_per_second(self) -> f64 {
        self.tokens_per_second
    }

    /// Expected time of a prefill.
    pub(crate) fn time_for(self, tokens: f64) -> Duration {
        Duration::from_secs_f64(tokens / self.tokens_per_second)
    }

    pub(crate) fn observe(&mut self, tokens: f64, took: Duration) {
        if tokens < MIN_OBSERVED_TOKENS || took.is_zero() {
            return;
        }
        let seconds_per_token = took.as_secs_f64() / tokens;
        // The mean is over time per token, so that one slow prefill shows at once.
        let mean = (1.0 - GAIN) / self.tokens_per_second + GAIN * seconds_per_token;
        self.tokens_per_second = 1.0 / mean;
    }
}

/// Exponentially weighted mean of a duration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MeanDuration {
    seconds: f64,
}

impl MeanDuration {
    /// Weight of a new observation; many requests share one mean, so it moves slowly.
    const GAIN: f64 = 0.02;

    pub(crate) fn new(initial: Duration) -> Self {
        Self {
            seconds: initial.as_secs_f64(),
        }
    }

    pub(crate) fn get(self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }

    pub(crate) fn observe(&mut self, took: Duration) {
        self.seconds += Self::GAIN * (took.as_secs_f64() - self.seconds);
    }
}
