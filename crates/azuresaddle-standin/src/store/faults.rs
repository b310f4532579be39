//! Faults of the store.

use serde::{Deserialize, Serialize};

/// Faults in force; all off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Calls are neither carried out nor answered.
    pub down: bool,
    /// Calls are carried out and answered this much later, in milliseconds.
    pub delay_ms: u64,
    /// The next writes of keys that take effect without being answered.
    pub lose_write_answers: u32,
    /// The next calls that fall silent: neither carried out nor answered.
    pub silent_calls: u32,
    /// The next renewals of leases that are neither carried out nor answered.
    pub lose_renewals: u32,
}
