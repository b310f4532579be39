//! Load level that a node states of its own host.

use std::time::Duration;

use tokio::time::Instant;

use super::load_level::LoadLevel;

/// Uses of the host from which the levels begin. The lowest leaves room for a burst of 1.5 times the load; from the
/// highest on requests wait for the processor or the link.
const THRESHOLDS: [(f64, LoadLevel); 3] = [
    (0.95, LoadLevel::Full),
    (0.8, LoadLevel::High),
    (0.6, LoadLevel::Raised),
];

/// Difference to its threshold at which a level is left. A measurement over 1 s on 0.12 of a core varies by 0.08,
/// since processor time is counted in steps of 10 ms.
const HYSTERESIS: f64 = 0.1;

/// Minimum time between two changes of the level, the time over which use is measured.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Derives the load level from measured uses.
#[derive(Debug, Default)]
pub struct LoadMeter {
    level: LoadLevel,
    changed_at: Option<Instant>,
}

impl LoadMeter {
    /// Applies a measurement, the largest used share of the host's resources; returns the new level if it changes.
    pub fn on_measured(&mut self, now: Instant, used: f64) -> Option<LoadLevel> {
        let is_recent = |at| now.saturating_duration_since(at) < MIN_CHANGE_INTERVAL;
        if self.changed_at.is_some_and(is_recent) {
            return None;
        }
        let level = self.level_for(used);
        if level == self.level {
            return None;
        }
        self.level = level;
        self.changed_at = Some(now);
        Some(level)
    }

    /// The present level.
    pub fn level(&self) -> LoadLevel {
        self.level
    }

    fn level_for(&self, used: f64) -> LoadLevel {
        // Levels up to the present one are kept until use falls clearly below their threshold.
        let from = |threshold: f64, level| {
            if level <= self.level {
                threshold - HYSTERESIS
            } else {
                threshold
            }
        };
        let mut reached = THRESHOLDS
            .iter()
            .filter(|(threshold, level)| used >= from(*threshold, *level));
        reached
            .next()
            .map_or(LoadLevel::Normal, |(_, level)| *level)
    }
}
