//! Load level of a host, as nodes exchange it.

use std::time::Duration;

use azuresaddle_sched::addresses::{LEVEL_LIFETIME, LoadLevel, StatedLoad};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Unit of [`HostLoadUpdate::age`], which then takes one byte for as long as a level is valid.
const AGE_UNIT: Duration = Duration::from_millis(100);

/// A node's load level; takes at most 17 bytes, and usually 13.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct HostLoadUpdate {
    /// Incarnation of the node.
    incarnation: u64,
    level: LoadLevel,
    /// Number of the node's statement.
    number: u32,
    /// Time since the statement, in units of 100 ms. An age rather than a time, since clocks of nodes differ.
    age: u8,
}

impl HostLoadUpdate {
    pub(super) fn new(now: Instant, incarnation: u64, load: StatedLoad) -> Self {
        let age = now
            .saturating_duration_since(load.stated_at)
            .min(LEVEL_LIFETIME);
        Self {
            incarnation,
            level: load.level,
            number: load.number,
            age: (age.as_millis() / AGE_UNIT.as_millis()) as u8,
        }
    }

    pub(super) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The statement, by this node's clock.
    pub(super) fn stated(&self, now: Instant) -> StatedLoad {
        let age = AGE_UNIT * u32::from(self.age);
        StatedLoad {
            level: self.level,
            number: self.number,
            stated_at: now.checked_sub(age).unwrap_or(now),
        }
    }
}
