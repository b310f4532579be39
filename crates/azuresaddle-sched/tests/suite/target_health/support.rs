//! Targets and nodes for the tests of target health.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::deployment::{TargetEntry, TargetStart, TargetState};
use azuresaddle_core::prelude::*;
use azuresaddle_sched::target_health::{
    FleetHealth, Observer, SendCounts, SendOutcome, TargetVerdict,
};
use tokio::time::Instant;

/// Number of failure domains of the nodes.
const DOMAINS: u16 = 3;

pub(super) const STARTED: TargetStart = TargetStart(1000);

pub(super) fn target(index: usize) -> Arc<TargetEntry> {
    Arc::new(TargetEntry {
        id: HostName::new(format!("t{index}")),
        service: "plain".into(),
        addr: ([10, 0, 0, 1], 80).into(),
        domain: "d0".into(),
        slots: 6,
        state: TargetState::Ready,
        cold_for: Duration::ZERO,
        started: STARTED,
        sequence: 1,
    })
}

pub(super) fn targets(count: usize) -> Vec<Arc<TargetEntry>> {
    (0..count).map(target).collect()
}

pub(super) fn observers(count: usize) -> Vec<Observer> {
    let nodes = 0..count;
    nodes
        .map(|n| Observer {
            node: n as u64 + 1,
            domain: n as u16 % DOMAINS,
        })
        .collect()
}

pub(super) fn counts(outcomes: &[SendOutcome]) -> SendCounts {
    let mut counts = SendCounts::default();
    for outcome in outcomes {
        counts.record(*outcome);
    }
    counts
}

/// A few nodes that exchange all their updates at once.
pub(super) struct Nodes {
    pub(super) now: Instant,
    pub(super) all: Vec<FleetHealth>,
    pub(super) targets: Vec<Arc<TargetEntry>>,
    observers: Vec<Observer>,
}

impl Nodes {
    pub(super) fn new(nodes: usize, targets_count: usize) -> Self {
        let now = Instant::now() + Duration::from_secs(60);
        let observers = observers(nodes);
        Self {
            now,
            all: observers
                .iter()
                .map(|o| FleetHealth::new(now, *o))
                .collect(),
            targets: targets(targets_count),
            observers,
        }
    }

    /// Lets a node record sends to a target, and exchanges the updates.
    pub(super) fn send(&mut self, node: usize, target: usize, outcomes: &[SendOutcome]) {
        let id = &self.targets[target].id;
        self.all[node].on_sends(self.now, id, STARTED, &counts(outcomes));
        self.exchange();
    }

    /// Delivers the updates of all nodes to all others, and lets all decide.
    pub(super) fn exchange(&mut self) {
        for from in 0..self.all.len() {
            let keys = self.all[from].take_unsent();
            for key in keys {
                let update = self.all[from].update_for(self.now, &key);
                let Some(update) = update else { continue };
                for (to, node) in self.all.iter_mut().enumerate() {
                    if to != from {
                        node.on_update(self.now, &update);
                    }
                }
            }
        }
        self.decide();
    }

    pub(super) fn decide(&mut self) {
        for node in &mut self.all {
            node.decide(self.now, &self.targets, || self.observers.clone());
        }
    }

    pub(super) fn advance(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
        self.decide();
        self.exchange();
    }

    /// Nodes that send to a target.
    pub(super) fn users(&self, target: usize) -> usize {
        let id = &self.targets[target].id;
        self.all.iter().filter(|n| n.verdicts().accepts(id)).count()
    }

    pub(super) fn verdict(&self, node: usize, target: usize) -> TargetVerdict {
        self.all[node].verdicts().get(&self.targets[target].id)
    }

    /// Starts the probes that are due and returns the nodes that probe the target.
    pub(super) fn start_probes(&mut self, target: usize) -> Vec<usize> {
        let id = &self.targets[target].id;
        let now = self.now;
        let nodes = self.all.iter_mut().enumerate();
        nodes
            .filter_map(|(i, n)| n.start_probes(now).contains(id).then_some(i))
            .collect()
    }

    /// Records the result of a probe.
    pub(super) fn end_probe(&mut self, node: usize, target: usize, is_connected: bool) {
        let id = self.targets[target].id.clone();
        assert!(self.all[node].on_probe(self.now, &id, is_connected));
        self.decide();
        self.exchange();
    }

    /// Ejects a target on all nodes.
    pub(super) fn eject(&mut self, target: usize) {
        self.send(0, target, &[SendOutcome::NoConnection; 2]);
        self.send(1, target, &[SendOutcome::NoAnswer]);
        assert_eq!(self.users(target), 0);
    }
}
