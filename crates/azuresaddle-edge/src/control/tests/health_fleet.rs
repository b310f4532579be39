//! Simulated fleet whose nodes gossip what they observe of plain targets, in virtual time.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::bounded_time::scaled;
use azuresaddle_core::deployment::{TargetEntry, TargetStart, TargetState};
use azuresaddle_core::prelude::*;
use azuresaddle_sched::target_health::{HealthUpdate, Observer, SendCounts, SendOutcome};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use super::fleet::Fleet;
use super::members::number;
use crate::control::heartbeat::Datagram;
use crate::control::members::TICK;
use crate::control::shared_health::{SharedHealth, observer};

pub(super) const STARTED: TargetStart = TargetStart(1_790_000_000_000);

/// Time that a datagram takes: the delay between failure domains, and some wait for the receiver's processor.
const HOP_DELAY: Duration = Duration::from_millis(10);

/// Resolution of the virtual time.
const STEP: Duration = Duration::from_millis(5);

struct Node {
    health: SharedHealth,
    next_tick: Instant,
    bytes_sent: usize,
}

struct Sent {
    arrives: Instant,
    to: Ipv4Addr,
    updates: Vec<HealthUpdate>,
}

/// Nodes that gossip what they observe. Their membership does not change.
pub(super) struct HealthFleet {
    pub(super) now: Instant,
    pub(super) targets: Vec<Arc<TargetEntry>>,
    pub(super) rng: SmallRng,
    fleet: Fleet,
    nodes: Vec<Node>,
    observers: Vec<Observer>,
    waiting: Vec<Sent>,
    loss_rate: f64,
}

impl HealthFleet {
    pub(super) fn new(nodes: u16, targets: usize, loss_rate: f64) -> Self {
        let mut fleet = Fleet::new(nodes);
        fleet.advance(Duration::from_secs(4));
        let now = fleet.now;
        let mut rng = SmallRng::seed_from_u64(u64::from(nodes));
        let members = fleet.nodes.iter();
        let nodes = members.map(|m| Node {
            health: SharedHealth::new(now, &m.own),
            next_tick: now + scaled(TICK, rng.random_range(0.0..1.0)),
            bytes_sent: 0,
        });
        let nodes = nodes.collect();
        Self {
            now,
            targets: (0..targets).map(target).collect(),
            rng,
            nodes,
            observers: fleet.nodes.iter().map(|m| observer(&m.own)).collect(),
            fleet,
            waiting: Vec::new(),
            loss_rate,
        }
    }

    /// Lets a node observe a send to a target.
    pub(super) fn observe(&mut self, node: usize, target: usize, outcome: SendOutcome) {
        let mut counts = SendCounts::default();
        counts.record(outcome);
        let id = &self.targets[target].id;
        let health = &mut self.nodes[node].health;
        if health.view.on_sends(self.now, id, STARTED, &counts) {
            for key in health.view.take_unsent() {
                health.push(key);
            }
        }
    }

    /// Whether a node sends to a target.
    pub(super) fn accepts(&self, node: usize, target: usize) -> bool {
        let verdicts = self.nodes[node].health.view.verdicts();
        verdicts.accepts(&self.targets[target].id)
    }

    /// Nodes that hold an observation of the target by the first node.
    pub(super) fn informed(&self, target: usize) -> usize {
        let key = azuresaddle_sched::target_health::HealthKey {
            target: self.targets[target].id.clone(),
            node: self.observers[0].node,
        };
        let is_informed = |n: &&Node| n.health.view.update_for(self.now, &key).is_some();
        self.nodes.iter().filter(is_informed).count()
    }

    /// Mean bytes that a node has sent.
    pub(super) fn mean_bytes_sent(&self) -> usize {
        let total: usize = self.nodes.iter().map(|n| n.bytes_sent).sum();
        total / self.nodes.len()
    }

    /// Advances the time by one step.
    pub(super) fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for node in 0..self.nodes.len() {
            self.run(node);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let waiting = std::mem::take(&mut self.waiting);
        let (due, later): (Vec<Sent>, Vec<Sent>) =
            waiting.into_iter().partition(|s| s.arrives <= now);
        self.waiting = later;
        for sent in due {
            let node = number(sent.to) - 1;
            let is_mesh = self.fleet.nodes[node].is_mesh();
            let health = &mut self.nodes[node].health;
            let mut has_news = false;
            for update in &sent.updates {
                let is_news = health.view.on_update(now, update);
                has_news |= is_news;
                if is_news && !is_mesh {
                    health.push(update.key());
                }
            }
            if has_news {
                for key in health.view.take_unsent() {
                    health.push(key);
                }
                health
                    .view
                    .decide(now, &self.targets, || self.observers.clone());
            }
        }
    }

    /// Sends a node's next round if it is due.
    fn run(&mut self, node: usize) {
        let now = self.now;
        let members = &mut self.fleet.nodes[node];
        let Node {
            health,
            next_tick,
            bytes_sent,
        } = &mut self.nodes[node];
        let is_tick = *next_tick <= now;
        if is_tick {
            *next_tick += TICK;
            for key in health.view.take_unsent() {
                health.push(key);
            }
            health
                .view
                .decide(now, &self.targets, || self.observers.clone());
        }
        let is_repeated = is_tick && health.is_tick_round_due(now);
        if !is_repeated && !health.is_round_due(now) {
            return;
        }
        let keys = health.next_round(now);
        let updates = keys.iter().filter_map(|k| health.view.update_for(now, k));
        let updates: Vec<HealthUpdate> = updates.collect();
        if updates.is_empty() {
            return;
        }
        let to = if members.is_mesh() {
            members.alive_hosts(now)
        } else {
            members.gossip_peers()
        };
        let bytes = Datagram::TargetHealth(updates.clone()).encode().len();
        *bytes_sent += bytes * to.len();
        for to in to {
            if !self.rng.random_bool(self.loss_rate) {
                self.waiting.push(Sent {
                    arrives: now + HOP_DELAY,
                    to,
                    updates: updates.clone(),
                });
            }
        }
    }
}

pub(super) fn target(index: usize) -> Arc<TargetEntry> {
    Arc::new(TargetEntry {
        id: HostName::new(format!("i-5a807b3b{index:02}")),
        service: "desk".into(),
        addr: ([10, 0, 0, 1], 80).into(),
        domain: "d1".into(),
        slots: 6,
        state: TargetState::Ready,
        cold_for: Duration::ZERO,
        started: STARTED,
        sequence: 1,
    })
}
