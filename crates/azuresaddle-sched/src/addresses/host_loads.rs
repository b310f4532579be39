//! Load levels that nodes state of their hosts.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::load_level::LoadLevel;

/// Age from which a level that was not repeated counts as [`LoadLevel::Normal`]: three repetitions may be lost.
pub const LEVEL_LIFETIME: Duration = Duration::from_secs(10);

/// Interval at which a node repeats its level while it is not [`LoadLevel::Normal`].
pub const REPEAT_INTERVAL: Duration = Duration::from_secs(3);

/// A level, as a node stated it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatedLoad {
    /// The level.
    pub level: LoadLevel,
    /// Number of the statement; a later one of the same process has a higher number.
    pub number: u32,
    /// When it was made.
    pub stated_at: Instant,
}

/// Latest statement of each node, by incarnation.
#[derive(Debug, Default)]
pub struct HostLoads {
    stated: HashMap<u64, StatedLoad>,
}

impl HostLoads {
    /// Records a statement; false if a later one is known or it is too old.
    pub fn on_stated(&mut self, now: Instant, incarnation: u64, load: StatedLoad) -> bool {
        let known = self.stated.get(&incarnation);
        if is_expired(now, &load) || known.is_some_and(|k| k.number >= load.number) {
            return false;
        }
        self.stated.insert(incarnation, load);
        true
    }

    /// Returns the level of a node.
    pub fn level(&self, now: Instant, incarnation: u64) -> LoadLevel {
        let latest = self.latest(now, incarnation);
        latest.map_or(LoadLevel::Normal, |s| s.level)
    }

    /// Returns the latest statement of a node, unless it is too old.
    pub fn latest(&self, now: Instant, incarnation: u64) -> Option<StatedLoad> {
        let stated = self.stated.get(&incarnation).copied();
        stated.filter(|s| !is_expired(now, s))
    }

    /// Removes statements that are too old.
    pub fn remove_expired(&mut self, now: Instant) {
        self.stated.retain(|_, s| !is_expired(now, s));
    }
}

fn is_expired(now: Instant, load: &StatedLoad) -> bool {
    now.saturating_duration_since(load.stated_at) >= LEVEL_LIFETIME
}
