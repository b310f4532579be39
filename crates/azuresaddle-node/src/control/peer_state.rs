//! State of another node as this node sees it.

use std::time::Duration;

use tokio::time::Instant;

/// Time without a heartbeat after which a node counts as failed.
pub(super) const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Contents and time of the last heartbeat exchanged with a node.
#[derive(Clone, Debug)]
pub(super) struct PeerState {
    pub(super) last_seen: Option<Instant>,
    pub(super) store_reachable: bool,
    pub(super) stopping: bool,
    /// When the node first appeared in the host list.
    pub(super) known_since: Instant,
}

impl PeerState {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            last_seen: None,
            store_reachable: true,
            stopping: false,
            known_since: now,
        }
    }

    pub(super) fn is_alive(&self, now: Instant) -> bool {
        self.last_seen.is_some_and(|at| now - at <= PEER_TIMEOUT)
    }

    /// When the node started to count as failed; `None` if it does not.
    pub(super) fn silent_since(&self, now: Instant) -> Option<Instant> {
        let last = self.last_seen.unwrap_or(self.known_since);
        (now - last > PEER_TIMEOUT).then_some(last + PEER_TIMEOUT)
    }
}
