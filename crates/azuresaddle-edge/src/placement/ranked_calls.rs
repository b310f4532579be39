//! Which nodes can be asked with a priority.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use azuresaddle_sched::passes::DEFAULT_PRIORITY;
use tokio::time::Instant;

/// Time for which a node is asked without a priority after a call with one broke its connection. A node of an earlier
/// build closes the connection, which fails all calls on it, so this must be rare; an update lasts some minutes.
const UNRANKED_TIME: Duration = Duration::from_secs(30);

/// Nodes that did not answer `place_ranked`; those of an earlier build do not know it.
#[derive(Debug, Default)]
pub(super) struct RankedCalls {
    unranked_until: Mutex<HashMap<SocketAddr, Instant>>,
}

impl RankedCalls {
    /// Whether a request of that priority is sent to the node by `place_ranked`.
    pub(super) fn are_used(&self, now: Instant, peer: SocketAddr, priority: u8) -> bool {
        if priority == DEFAULT_PRIORITY {
            return false;
        }
        let unranked = self
            .unranked_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        unranked.get(&peer).is_none_or(|until| *until <= now)
    }

    /// Records that a call with a priority broke the connection to the node.
    pub(super) fn on_broken(&self, now: Instant, peer: SocketAddr) {
        let mut unranked = self
            .unranked_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        unranked.retain(|_, until| *until > now);
        unranked.insert(peer, now + UNRANKED_TIME);
    }
}
