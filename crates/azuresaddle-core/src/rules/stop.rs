//! Planned stop of a host.

use serde::{Deserialize, Serialize};

use crate::names::HostName;

/// A host that will be stopped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PlannedStop {
    /// The host.
    pub host: HostName,
    /// Time from which the host takes no new work, in milliseconds since the Unix epoch; 0 for now.
    #[serde(default)]
    pub at_unix_ms: u64,
}

impl PlannedStop {
    /// Whether the stop has begun.
    pub fn has_begun(&self, now_unix_ms: u64) -> bool {
        now_unix_ms >= self.at_unix_ms
    }
}
