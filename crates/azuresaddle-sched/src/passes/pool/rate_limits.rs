//! Engines that limit their rate.
//!
//! The limit holds for all nodes together, and every stream is placed here: one bucket an engine counts them, with the
//! parts of long prompts that an engine reads for others. A node that places alone beside the one that places for all
//! leaves these engines to that one.

use std::time::Duration;

use azuresaddle_core::deployment::RateLimit;
use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::PassPool;
use crate::rate_bucket::RateBucket;

impl PassPool {
    /// Takes the rate limits of engines by name; the others have none.
    pub fn set_rate_limits<'a>(
        &mut self,
        now: Instant,
        limit_of: impl Fn(&HostName) -> Option<&'a RateLimit>,
    ) {
        for engine in self.engines.values_mut() {
            let Some(limit) = limit_of(&engine.name) else {
                engine.rate = None;
                continue;
            };
            let rate = engine.rate.get_or_insert(RateBucket::new(now, *limit));
            rate.set_limit(now, *limit);
            if !self.is_owner {
                rate.suspend();
            }
        }
    }

    /// Notes whether this node places for all.
    pub fn set_owner(&mut self, now: Instant, is_owner: bool) {
        self.is_owner = is_owner;
        for rate in self.engines.values_mut().filter_map(|e| e.rate.as_mut()) {
            if is_owner {
                rate.resume(now);
            } else {
                rate.suspend();
            }
        }
    }

    /// Expected time until an ask behind `before` others gets its turn at engines that limit their rate; `None` where
    /// no such engine takes work.
    pub(super) fn rate_limited_wait(&self, now: Instant, before: usize) -> Option<Duration> {
        if !self.is_owner {
            return None;
        }
        let available = self
            .engines
            .values()
            .filter(|e| e.accepts_work_ignoring_rate_limit(now));
        let rates: Vec<RateBucket> = available.filter_map(|e| e.rate).collect();
        let next = rates.iter().map(|r| r.next_token_in(now)).min()?;
        let together: f64 = rates.iter().map(RateBucket::rate).sum();
        Some(next + Duration::from_secs_f64(before as f64 / together))
    }
}
