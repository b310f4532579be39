//! State of this node's part in sharing the health of plain targets.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::deployment::TargetEntry;
use azuresaddle_sched::target_health::{FleetHealth, HealthKey, Observer, TargetVerdicts};
use tokio::time::Instant;

use super::gossip_queue::GossipQueue;
use super::heartbeat::MemberState;

/// Maximum number of updates in a round; with the usual one to three intervals they fit into one datagram.
pub(super) const MAX_UPDATES: usize = 12;

/// Minimum time between two rounds. A failure that has to reach hundreds of nodes within 0.3 s takes four or five hops,
/// and news that arrive within this time share a datagram.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(25);

/// Queue of observations to be gossiped. The update is created when it is sent, since it contains ages.
pub(super) type HealthGossip = GossipQueue<HealthKey, MAX_UPDATES>;

/// State of this node's part in sharing the health of plain targets.
#[derive(Debug)]
pub(super) struct SharedHealth {
    pub(super) view: FleetHealth,
    pub(super) gossip: HealthGossip,
    /// Targets of plain services.
    pub(super) targets: Vec<Arc<TargetEntry>>,
    /// The verdicts to be published.
    pub(super) verdicts: Arc<TargetVerdicts>,
    /// When the last round was sent.
    round_at: Instant,
    /// Whether there is news to be sent before the next tick.
    has_news: bool,
}

impl SharedHealth {
    pub(super) fn new(now: Instant, own: &MemberState) -> Self {
        Self {
            view: FleetHealth::new(now, observer(own)),
            gossip: HealthGossip::default(),
            targets: Vec::new(),
            verdicts: Arc::default(),
            round_at: now,
            has_news: false,
        }
    }

    /// Queues an observation to be gossiped at once.
    pub(super) fn push(&mut self, key: HealthKey) {
        self.gossip.push(key);
        self.has_news = true;
    }

    /// When there is something to do before the next tick: a round to send, a probe, or the end of a trial.
    pub(super) fn next_due(&self) -> Option<Instant> {
        let round = self.has_news.then_some(self.round_at + MIN_ROUND_INTERVAL);
        let due = self.view.next_due();
        round.into_iter().chain(due).min()
    }

    /// Whether a round with news may be sent.
    pub(super) fn is_round_due(&self, now: Instant) -> bool {
        self.has_news && now >= self.round_at + MIN_ROUND_INTERVAL
    }

    /// Whether a round may be sent with a tick, also without news: observations are repeated, since datagrams may be lost.
    pub(super) fn is_tick_round_due(&self, now: Instant) -> bool {
        !self.gossip.is_empty() && now >= self.round_at + MIN_ROUND_INTERVAL
    }

    /// Takes the observations of the next round.
    pub(super) fn next_round(&mut self, now: Instant) -> Vec<HealthKey> {
        self.round_at = now;
        self.has_news = false;
        let mut keys = self.gossip.next_round();
        keys.sort_unstable();
        keys.dedup();
        keys
    }
}

/// A node as an observer of targets.
pub(super) fn observer(node: &MemberState) -> Observer {
    Observer {
        node: node.incarnation,
        domain: node.domain,
    }
}
