//! A node through which connections to targets can be opened.

use std::collections::HashSet;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use tokio::time::Instant;

/// Time for which a node that connected to a target is known to reach targets.
const REACH_MEMORY: Duration = Duration::from_secs(5);

/// Time for which a node that could not connect to a target is asked last.
const AVOIDANCE_TIME: Duration = Duration::from_secs(1);

/// A node that may be asked to open a connection to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TunnelCandidate {
    /// Incarnation of the node.
    pub node: u64,
    /// Whether it is in the failure domain of the asking node.
    pub is_same_domain: bool,
}

/// What is known of one of these nodes.
#[derive(Debug, Default)]
pub(super) struct TunnelPeer {
    /// When it last connected to a target for this node.
    reached_at: Option<Instant>,
    /// Targets that have refused it since then.
    pub(super) refused: HashSet<HostName>,
    avoided_until: Option<Instant>,
}

impl TunnelPeer {
    /// Class of a node that was not asked recently.
    pub(super) const UNKNOWN: u32 = 1;

    /// Order of preference; lower is better.
    pub(super) fn class(&self, now: Instant) -> u32 {
        if self.avoided_until.is_some_and(|until| now < until) {
            2
        } else if self.reaches(now) {
            0
        } else {
            Self::UNKNOWN
        }
    }

    /// Whether it is known to reach targets.
    pub(super) fn reaches(&self, now: Instant) -> bool {
        self.reached_at.is_some_and(|at| now < at + REACH_MEMORY)
    }

    pub(super) fn on_reached(&mut self, now: Instant) {
        self.reached_at = Some(now);
        self.refused.clear();
    }

    pub(super) fn on_failed(&mut self, now: Instant) {
        self.reached_at = None;
        self.refused.clear();
        self.avoided_until = Some(now + AVOIDANCE_TIME);
    }
}
