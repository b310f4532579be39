//! Registry entry in which a target describes itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::names::{FailureDomain, HostName};

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// Takes new work.
    Ready,
    /// Finishes its running work and takes no new work.
    Draining,
}

/// When a target started, in milliseconds since the Unix epoch by the target's own clock; 0 if
/// unknown.
///
/// It tells apart the runs of a target that restarts under the same name and has lost the state of
/// the earlier run.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TargetStart(pub u64);

impl TargetStart {
    /// Whether the target has stated when it started.
    pub fn is_known(self) -> bool {
        self.0 > 0
    }
}

/// Registry entry of one run of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEntry {
    /// Name; a later run may have the same.
    pub id: HostName,
    /// Service that it offers.
    pub service: Arc<str>,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Failure domain of its host.
    pub domain: FailureDomain,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: TargetState,
    /// How long it stays cold from when it wrote the entry: it is slow, and a high request rate
    /// crashes it.
    pub cold_for: Duration,
    /// When it started.
    pub started: TargetStart,
    /// Sequence number among the entries of one run; a lower one was written earlier.
    pub sequence: u64,
}

impl TargetEntry {
    /// Whether both are equal except for the sequence number and the time that the target stays
    /// cold, which change with every update.
    pub fn eq_ignoring_progress(&self, other: &Self) -> bool {
        let renumbered = Self {
            sequence: other.sequence,
            cold_for: other.cold_for,
            ..self.clone()
        };
        renumbered == *other
    }
}
