//! Shares the health of plain targets with other nodes, and probes ejected ones.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::deployment::TargetEntry;
use azuresaddle_core::prelude::*;
use azuresaddle_sched::target_health::{
    EjectedTarget, HealthUpdate, Observer, TargetVerdict, TargetVerdicts, VerdictChange,
};
use tokio::time::Instant;

use super::actor::Control;
use super::heartbeat::{Datagram, MAX_BYTES};
use super::members::Members;
use super::shared_health::{MAX_UPDATES, observer};
use crate::snapshot::TargetSet;

/// Longest wait for the connection of a probe: many round trips, and no longer than the shortest time between probes.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Result of a probe.
#[derive(Clone, Debug)]
pub(super) struct ProbeResult {
    pub(super) target: HostName,
    pub(super) is_connected: bool,
}

impl<N: Network> Control<N> {
    /// Records what traffic observed, decides, and sends news; true if a verdict changed.
    pub(super) async fn share_health(&mut self) -> bool {
        let now = Instant::now();
        let Some(health) = &mut self.health else {
            return false;
        };
        let mut is_urgent = false;
        for sends in self.observations.take() {
            is_urgent |= health
                .view
                .on_sends(now, &sends.target, sends.started, &sends.counts);
        }
        if is_urgent {
            self.queue_own_health();
        }
        self.apply_health(now).await
    }

    /// Does the same as [`Self::share_health`] with the next tick, also if there is no news.
    pub(super) async fn on_health_tick(&mut self) -> bool {
        let has_changed = self.share_health().await;
        self.queue_own_health();
        let now = Instant::now();
        let health = self.health.as_ref();
        if health.is_some_and(|h| h.is_tick_round_due(now)) {
            self.gossip_health(now).await;
        }
        has_changed
    }

    /// Records observations of other nodes, and relays new ones; true if a verdict changed.
    pub(super) async fn on_health_gossip(&mut self, updates: &[HealthUpdate]) -> bool {
        let now = Instant::now();
        let is_mesh = self.members.is_mesh();
        let Some(health) = &mut self.health else {
            return false;
        };
        let mut has_news = false;
        for update in updates {
            let is_news = health.view.on_update(now, update);
            has_news |= is_news;
            if is_news && !is_mesh {
                health.push(update.key());
            }
        }
        if !has_news {
            return false;
        }
        // This node's own sends to a target matter once another node has failed there.
        self.queue_own_health();
        self.apply_health(now).await
    }

    /// Records the result of a probe; true if a verdict changed.
    pub(super) async fn on_probe_result(&mut self, result: &ProbeResult) -> bool {
        let now = Instant::now();
        let Some(health) = &mut self.health else {
            return false;
        };
        if !health
            .view
            .on_probe(now, &result.target, result.is_connected)
        {
            return false;
        }
        tracing::info!(
            part = "target-health",
            target = %result.target,
            connected = result.is_connected,
            "ejected target probed"
        );
        self.queue_own_health();
        self.apply_health(now).await
    }

    fn queue_own_health(&mut self) {
        if let Some(health) = &mut self.health {
            for key in health.view.take_unsent() {
                health.push(key);
            }
        }
    }

    /// Decides, starts the probes that are due, and sends news; true if a verdict changed.
    async fn apply_health(&mut self, now: Instant) -> bool {
        let Some(health) = &mut self.health else {
            return false;
        };
        let live = || self.members.observers(now);
        let changes = health.view.decide(now, &health.targets, live);
        let has_changed = *health.verdicts != *health.view.verdicts();
        if has_changed {
            health.verdicts = Arc::new(health.view.verdicts().clone());
        }
        let due = health.view.start_probes(now);
        let is_round_due = health.is_round_due(now);
        for change in &changes {
            self.record_verdict(change);
        }
        for target in due {
            self.start_probe(target);
        }
        if is_round_due {
            self.gossip_health(now).await;
        }
        has_changed
    }

    fn record_verdict(&self, change: &VerdictChange) {
        let Some(health) = &self.health else {
            return;
        };
        let verdicts = health.view.verdicts();
        self.metrics.ejected_targets.set(verdicts.len() as i64);
        if change.is_ejection() {
            self.metrics.target_ejections.inc();
        }
        let target = &change.target;
        match change.after {
            TargetVerdict::InUse => {
                tracing::info!(part = "target-health", %target, "target back in use");
            }
            TargetVerdict::OnTrial { prober } => {
                let is_prober = prober == self.members.incarnation();
                tracing::info!(part = "target-health", %target, is_prober, "target on trial");
            }
            TargetVerdict::Ejected { .. } => {
                if let Some(ejected) = verdicts.ejected().iter().find(|e| e.target == *target) {
                    log_ejection(ejected);
                }
            }
        }
    }

    /// Opens a connection to a target and closes it again.
    fn start_probe(&self, target: HostName) {
        let health = self.health.as_ref();
        let entry = health.and_then(|h| h.targets.iter().find(|t| t.id == target));
        let Some(addr) = entry.map(|t| t.addr) else {
            return;
        };
        let net = self.net.clone();
        let tx = self.probe_results_tx.clone();
        self.spawner.spawn(async move {
            let connected = tokio::time::timeout(PROBE_TIMEOUT, net.connect(addr)).await;
            let is_connected = matches!(connected, Ok(Ok(_)));
            let result = ProbeResult {
                target,
                is_connected,
            };
            // The channel is closed only when the node stops.
            let _ = tx.send(result).await;
        });
    }

    /// Gossips the next round of observations.
    async fn gossip_health(&mut self, now: Instant) {
        let Some(health) = &mut self.health else {
            return;
        };
        let keys = health.next_round(now);
        let updates = keys.iter().filter_map(|k| health.view.update_for(now, k));
        let updates: Vec<HealthUpdate> = updates.collect();
        if updates.is_empty() {
            return;
        }
        let to = if self.members.is_mesh() {
            self.members.alive_hosts(now)
        } else {
            self.members.gossip_peers()
        };
        self.send_health(&to, updates).await;
    }

    /// Sends the observations that still count to a node that has just started.
    pub(super) async fn send_known_health(&self, ip: Ipv4Addr) {
        let Some(health) = &self.health else {
            return;
        };
        for updates in health.view.all_updates(Instant::now()).chunks(MAX_UPDATES) {
            self.send_health(&[ip], updates.to_vec()).await;
        }
    }

    async fn send_health(&self, to: &[Ipv4Addr], updates: Vec<HealthUpdate>) {
        let mut waiting = vec![updates];
        while let Some(mut updates) = waiting.pop() {
            let bytes = Datagram::TargetHealth(updates.clone()).encode();
            // Observations of many intervals take several datagrams.
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

    /// When health has something to do before the next tick.
    pub(super) fn health_due(&self) -> Option<Instant> {
        self.health.as_ref()?.next_due()
    }

    /// Follows the targets that are published, and returns the verdicts on them.
    pub(super) fn update_plain_targets(&mut self, targets: &TargetSet) -> Arc<TargetVerdicts> {
        let Some(health) = &mut self.health else {
            return Arc::default();
        };
        let configuration = self.configuration.as_ref();
        let is_plain = |t: &&Arc<TargetEntry>| {
            let service = configuration.and_then(|c| c.service(&t.service));
            service.is_some_and(|s| s.engine.is_none())
        };
        health.targets = targets.iter().filter(is_plain).cloned().collect();
        Arc::clone(&health.verdicts)
    }
}

fn log_ejection(ejected: &EjectedTarget) {
    let evidence = ejected.evidence;
    tracing::warn!(
        part = "target-health",
        target = %ejected.target,
        failures = evidence.failures,
        sends = evidence.sends,
        nodes = evidence.nodes,
        scope = %evidence.scope,
        failed_probes = ejected.failed_probes,
        "target ejected"
    );
}

impl Members {
    /// Live nodes as observers of targets, this one among them.
    fn observers(&self, now: Instant) -> Vec<Observer> {
        let all = self.members.values();
        let alive = all.filter(|m| self.is_alive(m, now)).map(|m| &m.state);
        alive.chain([&self.own]).map(observer).collect()
    }
}
