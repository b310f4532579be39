//! Faults that an engine can simulate.

use serde::{Deserialize, Serialize};

/// Active faults; all off by default. An `_every` fault affects one in that many events and is off
/// at 0.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct EngineFaults {
    /// No request is answered and no event is sent; `/faults` and `/counts` still work.
    pub silent: bool,
    /// The event is preceded by an event that belongs to another stream.
    pub crossed_every: u64,
    /// The event is sent twice.
    pub doubled_every: u64,
    /// The event is left out, unless it is the last one.
    pub missing_every: u64,
    /// The event is sent after the next one, unless it is the last one.
    pub late_every: u64,
    /// Number of upcoming cancel requests that are neither carried out nor answered.
    pub lose_cancels: u32,
    /// Number of events after which each connection of a stream is closed; 0 for never.
    pub break_after: u64,
    /// Factor by which prefills and decode steps take longer.
    pub slowdown: f64,
    /// The cache event is left out of the reported changes.
    pub cache_gap_every: u64,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            silent: false,
            crossed_every: 0,
            doubled_every: 0,
            missing_every: 0,
            late_every: 0,
            lose_cancels: 0,
            break_after: 0,
            slowdown: 1.0,
            cache_gap_every: 0,
        }
    }
}

/// Whether a fault that affects one in `every` events affects the event with this number.
pub(super) fn is_affected(every: u64, number: u64) -> bool {
    every > 0 && number % every == every - 1
}
