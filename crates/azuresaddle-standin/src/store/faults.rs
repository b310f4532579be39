//! Faults of the stand-in store.

use serde::{Deserialize, Serialize};

/// Active faults; all off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Whether calls are neither executed nor answered.
    pub down: bool,
    /// Delay of each call, in milliseconds.
    pub delay_ms: u64,
    /// Number of key writes, from the next one on, that take effect but are not answered.
    pub lose_write_answers: u32,
    /// Number of calls, from the next one on, that are neither executed nor answered.
    pub silent_calls: u32,
    /// Number of lease renewals, from the next one on, that are neither executed nor answered.
    pub lose_renewals: u32,
}
