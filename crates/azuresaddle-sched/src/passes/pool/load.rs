//! Load of a pool, as it would be reported to nodes that choose between pools.
//!
//! In production each service has one pool; simulations use this figure to compare that with
//! several pools.

use std::time::Duration;

use azuresaddle_core::bounded_time::saturating_millis;
use tokio::time::Instant;

use super::PassPool;

/// Load of a pool at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// Slots of the engines that accept new work.
    pub slots: usize,
    /// Number of engines that accept new work.
    pub engines: usize,
    /// Number of streams that run or wait for a slot.
    pub streams: usize,
    /// Prefill that was started or waits, summed over all engines.
    pub prefill: Duration,
}

impl PoolLoad {
    /// Fraction of the slots that are occupied or waited for; above one if demand exceeds capacity.
    pub fn stream_share(&self) -> f64 {
        self.streams as f64 / self.slots.max(1) as f64
    }

    /// Prefill per engine, in milliseconds.
    pub fn prefill_ms_per_engine(&self) -> f64 {
        self.prefill.as_secs_f64() * 1000.0 / self.engines.max(1) as f64
    }
}

impl PassPool {
    /// Returns the current load.
    pub fn load(&self, now: Instant) -> PoolLoad {
        let engines = self.available_engines(now);
        let waiting = self.queue.iter();
        let waiting_ms: f64 = waiting
            .filter(|w| !self.is_short(w.prefill_ms))
            .map(|w| w.prefill_ms)
            .sum();
        let engine_states = self.engines.values();
        let started_ms: f64 = engine_states
            .map(|e| {
                let prefill = e.prefill_until.saturating_duration_since(now);
                e.queued_prefill_ms + prefill.as_secs_f64() * 1000.0
            })
            .sum();
        PoolLoad {
            slots: engines * self.spec.slots as usize,
            engines,
            streams: self.placed_streams.len() + self.queue.len(),
            prefill: saturating_millis(waiting_ms + started_ms),
        }
    }
}
