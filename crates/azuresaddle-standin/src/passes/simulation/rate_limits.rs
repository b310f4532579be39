//! Engines that limit their request rate for a part of the day.
//!
//! All placers learn the limits without delay. Placers that do not own a pool leave these engines to
//! its owner.

use std::time::Duration;

use azuresaddle_core::deployment::RateLimit;
use azuresaddle_core::prelude::*;
use azuresaddle_sched::passes::PassPool;
use tokio::time::Instant;

use super::Simulation;
use crate::rate_limit_check::{
    ADJUSTMENT_TIME, WINDOW, max_requests_in_window, peak_requests_in_window,
};

impl Simulation<'_> {
    pub(super) fn change_rate_limits(&mut self, at_ms: f64) {
        let now = self.instant(at_ms);
        let mut placers = std::mem::take(&mut self.placers);
        for (index, placer) in placers.iter_mut().enumerate() {
            placer.pool.set_owner(now, index < self.pool_count());
            self.apply_rate_limits(now, &mut placer.pool);
        }
        self.placers = placers;
    }

    /// Sets the rate limits in force on a pool.
    pub(super) fn apply_rate_limits(&self, now: Instant, pool: &mut PassPool) {
        let at_ms = now.duration_since(self.origin).as_secs_f64() * 1000.0;
        let limited = self.workload.faults.rate_limited;
        let Some(limited) = limited.filter(|l| l.span.contains(at_ms)) else {
            return pool.set_rate_limits(now, |_| None);
        };
        let limit = RateLimit::per_second(limited.requests_per_s);
        let is_limited = |id: &HostName| self.names.iter().take(limited.count).any(|n| n == id);
        pool.set_rate_limits(now, |id| limit.as_ref().filter(|_| is_limited(id)));
    }

    /// Highest number of requests that a limited engine received within one check interval, over the
    /// number that its limit allows.
    pub(super) fn limit_use(&self) -> f64 {
        let Some(limited) = self.workload.faults.rate_limited else {
            return 0.0;
        };
        let seconds = Duration::from_secs_f64;
        let held = seconds(limited.span.from_s) + ADJUSTMENT_TIME..seconds(limited.span.to_s);
        let most = self
            .received_at_ms
            .iter()
            .take(limited.count)
            .map(|received_at_ms| {
                let arrivals = received_at_ms.iter().map(|ms| seconds(ms / 1000.0));
                let arrivals: Vec<Duration> = arrivals.filter(|at| held.contains(at)).collect();
                peak_requests_in_window(&arrivals, WINDOW)
            });
        most.max().unwrap_or(0) as f64 / max_requests_in_window(limited.requests_per_s) as f64
    }
}
