//! Prefill rates and answer times learned from completed work.

use std::time::Duration;

use azuresaddle_core::bounded_time::saturating_seconds;
/// Weight of a new observation in the moving average of the prefill rate.
const GAIN: f64 = 0.2;

/// Shortest prefill that is learned from, in tokens; shorter ones mostly measure network latency.
const MIN_OBSERVED_TOKENS: f64 = 256.0;

/// Exponentially weighted moving average of a target's prefill rate.
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

    /// Expected duration of a prefill.
    pub(crate) fn time_for(self, tokens: f64) -> Duration {
        saturating_seconds(tokens / self.tokens_per_second)
    }

    pub(crate) fn observe(&mut self, tokens: f64, took: Duration) {
        if tokens < MIN_OBSERVED_TOKENS || took.is_zero() {
            return;
        }
        let seconds_per_token = took.as_secs_f64() / tokens;
        // Averaging time per token instead of the rate makes a single slow prefill show at once.
        let mean = (1.0 - GAIN) / self.tokens_per_second + GAIN * seconds_per_token;
        self.tokens_per_second = 1.0 / mean;
    }
}

/// Mean answer length and mean time per token, learned from complete answers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerTimes {
    mean_tokens: f64,
    step_seconds: f64,
    observed: u32,
}

impl AnswerTimes {
    /// Weight of a new observation; low, because many requests contribute to one mean.
    const GAIN: f64 = 0.02;

    /// Mean answer length assumed before any answer, in tokens.
    const INITIAL_TOKENS: f64 = 418.0;

    /// Number of answers after which requests may be refused based on the means.
    const TRUSTED_AFTER: u32 = 20;

    /// Time reserved for an answer, as a multiple of the mean length; with geometrically
    /// distributed lengths, one answer in fifty is longer.
    const MARGIN: f64 = 4.0;

    pub(crate) fn new(initial_step: Duration) -> Self {
        Self {
            mean_tokens: Self::INITIAL_TOKENS,
            step_seconds: initial_step.as_secs_f64(),
            observed: 0,
        }
    }

    /// Mean time from the first token to the end of the answer.
    pub(crate) fn mean_time(self) -> Duration {
        saturating_seconds(self.mean_tokens * self.step_seconds)
    }

    /// Time to reserve for the answer before the deadline; zero while too few answers have been
    /// seen, since a wrong estimate would refuse requests that could be served.
    pub(crate) fn answer_time_allowance(self, max_tokens: u64) -> Duration {
        if self.observed < Self::TRUSTED_AFTER {
            return Duration::ZERO;
        }
        let tokens = (Self::MARGIN * self.mean_tokens).min(max_tokens as f64);
        saturating_seconds(tokens * self.step_seconds)
    }

    pub(crate) fn observe(&mut self, tokens: u32, took: Duration) {
        let tokens = f64::from(tokens.max(1));
        let step = took.as_secs_f64() / tokens;
        self.mean_tokens += Self::GAIN * (tokens - self.mean_tokens);
        self.step_seconds += Self::GAIN * (step - self.step_seconds);
        self.observed = self.observed.saturating_add(1);
    }
}
