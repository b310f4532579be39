//! Load level of a host.

use serde::{Deserialize, Serialize};

/// Part of its host's capacity that a node uses, in four levels; higher levels get fewer callers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum LoadLevel {
    /// Little use, or unknown.
    #[default]
    Normal,
    /// The next burst may fill the host.
    Raised,
    /// Requests may wait in a burst.
    High,
    /// Requests wait now.
    Full,
}

impl LoadLevel {
    /// Factor of the node's weight. Even a full node keeps some callers, so that its connections stay in use and it is
    /// still reached when all nodes are full.
    pub fn factor(self) -> f64 {
        match self {
            Self::Normal => 1.0,
            Self::Raised => 0.5,
            Self::High => 0.25,
            Self::Full => 0.1,
        }
    }

    /// Number of the level, from 0 to 3.
    pub fn number(self) -> u8 {
        self as u8
    }
}
