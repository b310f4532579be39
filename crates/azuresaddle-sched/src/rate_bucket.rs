//! Token bucket for a target with a request rate limit.

use std::time::Duration;

use azuresaddle_core::bounded_time::saturating_seconds;
use azuresaddle_core::deployment::RateLimit;
use tokio::time::Instant;

/// Lowest rate, in requests per second: a target with a limit of 0 is still probed, since only an answer can raise the
/// limit.
const MIN_RATE: f64 = 0.1;

/// Time for which tokens accumulate; short, so that a burst after idle time stays within the limit.
const BURST_TIME: Duration = Duration::from_millis(500);

/// Largest burst, in requests.
const MAX_BURST: f64 = 3.0;

/// Rate limiter that one node, the owner, runs for a target on behalf of all nodes.
///
/// It starts empty because a new owner does not know what the previous owner has just let through.
#[derive(Clone, Copy, Debug)]
pub struct RateBucket {
    limit: RateLimit,
    tokens: f64,
    filled_at: Instant,
    is_suspended: bool,
}

impl RateBucket {
    /// An empty bucket.
    pub fn new(now: Instant, limit: RateLimit) -> Self {
        Self {
            limit,
            tokens: 0.0,
            filled_at: now,
            is_suspended: false,
        }
    }

    /// Changes the limit; tokens beyond the new burst are dropped.
    pub fn set_limit(&mut self, now: Instant, limit: RateLimit) {
        if limit == self.limit {
            return;
        }
        self.fill(now);
        self.limit = limit;
        self.tokens = self.tokens.min(self.burst());
    }

    /// Blocks all requests until [`Self::resume`].
    pub fn suspend(&mut self) {
        self.is_suspended = true;
    }

    /// Allows requests again, starting with an empty bucket.
    pub fn resume(&mut self, now: Instant) {
        if self.is_suspended {
            *self = Self::new(now, self.limit);
        }
    }

    /// Allowed rate, in requests per second.
    pub fn rate(&self) -> f64 {
        self.limit.requests_per_second().max(MIN_RATE)
    }

    /// Whether a request may pass now.
    pub fn has_token(&self, now: Instant) -> bool {
        !self.is_suspended && self.tokens_at(now) >= 1.0
    }

    /// Takes a token for a request; false if none is available.
    pub fn take(&mut self, now: Instant) -> bool {
        self.fill(now);
        let has_token = self.has_token(now);
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Time until the next request may pass.
    pub fn next_token_in(&self, now: Instant) -> Duration {
        let missing = (1.0 - self.tokens_at(now)).max(0.0);
        saturating_seconds(missing / self.rate())
    }

    fn fill(&mut self, now: Instant) {
        self.tokens = self.tokens_at(now);
        self.filled_at = self.filled_at.max(now);
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.filled_at);
        (self.tokens + passed.as_secs_f64() * self.rate()).min(self.burst())
    }

    fn burst(&self) -> f64 {
        (self.rate() * BURST_TIME.as_secs_f64()).clamp(1.0, MAX_BURST)
    }
}
