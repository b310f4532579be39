//! Messages that a node sends when the owner is unresponsive or replaced.

use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::actor::Control;
use super::heartbeat::Datagram;

impl<N: Network> Control<N> {
    /// Records that the owner did not answer, and sends a vote to its successor.
    pub(super) async fn on_unresponsive_owner(&mut self, node: u64) -> bool {
        let now = Instant::now();
        let claimed = self.members.on_unresponsive_owner(now, node);
        self.take_over_if_claimed(now, claimed).await;
        if !claimed {
            self.send_vote(now).await;
        }
        claimed
    }

    /// Sends the vote against the owner to the successor. Repeated with each tick, since datagrams
    /// may be lost.
    pub(super) async fn send_vote(&self, now: Instant) {
        if let Some((ip, vote)) = self.members.vote(now) {
            self.send_to(ip, &Datagram::Vote(vote).encode()).await;
        }
    }

    /// Acts as the owner if this node has claimed ownership, and announces the claim.
    ///
    /// Nodes send requests as soon as they know of the claim. A node that did not act on it yet would redirect them to
    /// the earlier owner.
    pub(super) async fn take_over_if_claimed(&mut self, now: Instant, claimed: bool) {
        if !claimed {
            return;
        }
        self.published_at = now;
        self.publish();
        self.announce_claim(now).await;
    }

    /// Announces to all nodes at once that this node is the owner now. With regular
    /// gossip, some of them would send requests to the previous owner for another second.
    pub(super) async fn announce_claim(&mut self, now: Instant) {
        self.metrics.owner_claims.inc();
        let bytes = Datagram::Heartbeat(self.members.bare_heartbeat()).encode();
        for ip in self.members.alive_hosts(now) {
            self.send_to(ip, &bytes).await;
        }
    }
}
