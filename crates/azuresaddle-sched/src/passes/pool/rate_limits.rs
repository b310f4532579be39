//! Rate limits of engines.
//!
//! A limit applies to all nodes together, and the pool's owner places every stream. So one token
//! bucket per engine counts the streams, and the parts of long prompts that the engine prefills for
//! others. A node that places on its own while another one is the owner leaves these engines to the
//! owner.

use std::time::Duration;

use azuresaddle_core::bounded_time::saturating_seconds;
use azuresaddle_core::deployment::RateLimit;
use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::PassPool;
use crate::rate_bucket::RateBucket;

impl PassPool {
    /// Sets the rate limits of the engines by name; engines for which `limit_of` returns `None`
    /// have none.
    pub fn set_rate_limits<'a>(
        &mut self,
        now: Instant,
        limit_of: impl Fn(&HostName) -> Option<&'a RateLimit>,
    ) {
        for engine in self.engines.values_mut() {
            let Some(limit) = limit_of(&engine.name) else {
                engine.rate_bucket = None;
                continue;
            };
            let rate = engine
                .rate_bucket
                .get_or_insert(RateBucket::new(now, *limit));
            rate.set_limit(now, *limit);
            if !self.is_owner {
                rate.suspend();
            }
        }
    }

    /// Sets whether this node owns the pool; only the owner uses engines with a rate limit.
    pub fn set_owner(&mut self, now: Instant, is_owner: bool) {
        if is_owner && !self.is_owner {
            self.forecast.on_handover(now);
        }
        self.is_owner = is_owner;
        self.reset_admission(now);
        for rate in self
            .engines
            .values_mut()
            .filter_map(|e| e.rate_bucket.as_mut())
        {
            if is_owner {
                rate.resume(now);
            } else {
                rate.suspend();
            }
        }
    }

    /// Expected time until a request with `requests_ahead` others ahead of it gets a token of a
    /// rate-limited engine; `None` if no such engine accepts work.
    pub(super) fn rate_limited_wait(
        &self,
        now: Instant,
        requests_ahead: usize,
    ) -> Option<Duration> {
        if !self.is_owner {
            return None;
        }
        let available = self
            .engines
            .values()
            .filter(|e| e.accepts_work_ignoring_rate_limit(now));
        let rates: Vec<RateBucket> = available.filter_map(|e| e.rate_bucket).collect();
        let next = rates.iter().map(|r| r.next_token_in(now)).min()?;
        let together: f64 = rates.iter().map(RateBucket::rate).sum();
        Some(next + saturating_seconds(requests_ahead as f64 / together))
    }
}
