//! What a target says of itself.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::names::{FailureDomain, HostName};

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// Takes new work.
    Ready,
    /// Finishes what it has.
    Draining,
}

/// When a target started: Unix time in milliseconds by the target's own clock; 0 where it does not say.
///
/// A target may start again under its name; a later start knows nothing of an earlier one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TargetStart(pub u64);

impl TargetStart {
    /// Whether the target says when it started.
    pub fn is_known(self) -> bool {
        self.0 > 0
    }
}

/// One start of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEntry {
    /// Name, which a later start may bear again.
    pub id: HostName,
    /// Service that it offers.
    pub service: Arc<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Failure domain of its host.
    pub domain: FailureDomain,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: TargetState,
    /// When it started.
    pub started: TargetStart,
    /// Number of the entry among those of one start; a lower one was written earlier.
    pub sequence: u64,
}

impl TargetEntry {
    /// Whether both say the same but for their number, which grows all the time.
    pub fn eq_ignoring_sequence(&self, other: &Self) -> bool {
        let renumbered = Self {
            sequence: other.sequence,
            ..self.clone()
        };
        renumbered == *other
    }
}
