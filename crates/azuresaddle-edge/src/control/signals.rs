//! Handles signals of targets: records them, logs changes, and gossips them.

use std::net::Ipv4Addr;

use azuresaddle_core::deployment::TargetStart;
use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::actor::Control;
use super::gossip_queue::GossipQueue;
use super::heartbeat::{Datagram, MAX_BYTES};
use super::signal_records::SignalChange;
use crate::signals::{ObservedSignals, SignalUpdate};

/// Maximum number of signals in a datagram; each takes about 40 bytes in addition to the target's
/// name.
pub(super) const MAX_SIGNALS: usize = 20;

/// Queue of targets whose signals are to be gossiped. The update is created when it is sent, since
/// it contains the age of the signal.
pub(super) type SignalGossip = GossipQueue<HostName, MAX_SIGNALS>;

/// Ticks between two cleanups of signals.
const TICKS_PER_CLEANUP: u32 = 100;

impl<N: Network> Control<N> {
    /// Records the signals of an answer that this node has relayed, and gossips them; true if
    /// something changed.
    pub(super) async fn on_signals_observed(&mut self, observed: &ObservedSignals) -> bool {
        let changes = self.signals.on_observed(observed);
        self.apply_signal_changes(&observed.target, observed.started, &changes);
        let has_changed = !changes.is_empty();
        if self
            .signals
            .should_gossip(observed.received_at, &observed.target, has_changed)
        {
            self.signal_gossip.push(observed.target.clone());
            self.gossip_signals().await;
        }
        has_changed
    }

    /// Records signals from another node, and relays new ones; true if something changed.
    pub(super) async fn on_signal_gossip(&mut self, updates: &[SignalUpdate]) -> bool {
        let now = Instant::now();
        let mut has_changed = false;
        for update in updates {
            let changes = self.signals.on_gossip(now, update);
            self.apply_signal_changes(&update.target, update.started, &changes);
            let is_changed = !changes.is_empty();
            has_changed |= is_changed;
            if !self.members.is_mesh()
                && self.signals.should_gossip(now, &update.target, is_changed)
            {
                self.signal_gossip.push(update.target.clone());
            }
        }
        if has_changed {
            self.gossip_signals().await;
        }
        has_changed
    }

    fn apply_signal_changes(
        &mut self,
        target: &HostName,
        started: TargetStart,
        changes: &[SignalChange],
    ) {
        for change in changes {
            match change {
                SignalChange::Draining => {
                    self.metrics.on_target_signal("draining");
                    tracing::info!(part = "control", %target, "target is draining");
                    self.registry.on_draining(target, started);
                }
                SignalChange::Limited(limit) => {
                    self.metrics.on_target_signal("limited");
                    tracing::info!(part = "control", %target, %limit, "target limits its rate");
                }
                SignalChange::Unlimited => {
                    self.metrics.on_target_signal("unlimited");
                    tracing::info!(part = "control", %target, "target lifts its limit");
                }
            }
        }
    }

    /// Gossips the next round of signals.
    pub(super) async fn gossip_signals(&mut self) {
        let now = Instant::now();
        let mut targets = self.signal_gossip.next_round();
        targets.sort_unstable();
        targets.dedup();
        let updates = targets
            .iter()
            .filter_map(|t| self.signals.update_for(now, t));
        let updates: Vec<SignalUpdate> = updates.collect();
        if updates.is_empty() {
            return;
        }
        let to = if self.members.is_mesh() {
            self.members.alive_hosts(now)
        } else {
            self.members.gossip_peers()
        };
        self.send_signals(&to, updates).await;
    }

    /// Sends all known signals to a node that has just started.
    pub(super) async fn send_known_signals(&self, ip: Ipv4Addr) {
        for updates in self.signals.all(Instant::now()).chunks(MAX_SIGNALS) {
            self.send_signals(&[ip], updates.to_vec()).await;
        }
    }

    async fn send_signals(&self, to: &[Ipv4Addr], updates: Vec<SignalUpdate>) {
        let mut waiting = vec![updates];
        while let Some(mut updates) = waiting.pop() {
            let bytes = Datagram::Signals(updates.clone()).encode();
            // Signals with long target names take several datagrams.
            if bytes.len() > MAX_BYTES && updates.len() > 1 {
                waiting.push(updates.split_off(updates.len() / 2));
                waiting.push(updates);
                continue;
            }
            for ip in to {
                self.send_to(*ip, &bytes).await;
            }
        }
    }

    /// Removes the signals of targets that no longer exist, at intervals.
    pub(super) fn expire_signals(&mut self, now: Instant) {
        if self.members.ticks.is_multiple_of(TICKS_PER_CLEANUP) {
            let known = self.registry.names();
            self.signals.remove_expired(now, |id| known.contains(id));
            self.registry.retain_draining(|id| self.signals.knows(id));
        }
    }
}
