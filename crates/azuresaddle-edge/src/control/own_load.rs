//! Load level of this node's host.

use std::time::Duration;

use azuresaddle_sched::addresses::{LoadLevel, LoadMeter, REPEAT_INTERVAL, StatedLoad};
use tokio::time::Instant;

use super::host_capacity::HostCapacity;
use super::host_counters::HostCounters;
use super::host_use::HostUse;

/// Interval of measurements.
const MEASURE_INTERVAL: Duration = Duration::from_secs(1);

/// Measures this host's use, and decides when the level is to be stated.
#[derive(Debug)]
pub(super) struct OwnLoad {
    capacity: HostCapacity,
    meter: LoadMeter,
    /// When the counters were last read, and what they were.
    measured: Option<(Instant, HostCounters)>,
    /// Number of the latest statement.
    number: u32,
    stated_at: Option<Instant>,
}

impl OwnLoad {
    pub(super) fn new(capacity: HostCapacity) -> Self {
        Self {
            capacity,
            meter: LoadMeter::default(),
            measured: None,
            number: 0,
            stated_at: None,
        }
    }

    /// Whether the counters are to be read.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        let is_old = |at| now.saturating_duration_since(at) >= MEASURE_INTERVAL;
        self.measured.is_none_or(|(at, _)| is_old(at))
    }

    /// Applies the counters; returns the use and what is to be stated, if anything.
    pub(super) fn on_counters(
        &mut self,
        now: Instant,
        counters: HostCounters,
    ) -> Option<StatedLoad> {
        let (before_at, before) = self.measured.replace((now, counters))?;
        let elapsed = now.saturating_duration_since(before_at);
        let used = HostUse::between(&self.capacity, &before, &counters, elapsed);
        let changed = self.meter.on_measured(now, used.largest());
        if let Some(level) = changed {
            tracing::info!(
                part = "control",
                level = level.number(),
                cpu = used.cpu,
                link = used.link,
                memory = used.memory,
                descriptors = used.descriptors,
                "load level of this host changed"
            );
        }
        let is_old = |at| now.saturating_duration_since(at) >= REPEAT_INTERVAL;
        let is_repeated = self.level() != LoadLevel::Normal && self.stated_at.is_none_or(is_old);
        (changed.is_some() || is_repeated).then(|| self.state(now))
    }

    pub(super) fn level(&self) -> LoadLevel {
        self.meter.level()
    }

    fn state(&mut self, now: Instant) -> StatedLoad {
        self.number += 1;
        self.stated_at = Some(now);
        StatedLoad {
            level: self.level(),
            number: self.number,
            stated_at: now,
        }
    }
}
