//! Faults of an engine.

use serde::{Deserialize, Serialize};

/// Faults in force; all off by default.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Nothing is answered and no event is sent.
    pub silent: bool,
    /// One in so many events is preceded by another stream's; 0 for none.
    pub crossed_every: u64,
    /// One in so many events is sent twice; 0 for none.
    pub doubled_every: u64,
    /// One in so many events is left out; 0 for none.
    pub missing_every: u64,
    /// One in so many events comes after the next one; 0 for none.
    pub late_every: u64,
    /// The next orders to cancel that are neither carried out nor answered.
    pub lose_cancels: u32,
    /// Streams break off after so many events, once each connection; 0 for never.
    pub break_after: u64,
    /// Factor by which prefills and steps are slower.
    pub slowdown: f64,
    /// One in so many cache events is lost; 0 for none.
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

/// Whether a fault that occurs once every so many events affects the event with this number.
pub(super) fn is_affected(every: u64, number: u64) -> bool {
    every > 0 && number % every == every - 1
}
