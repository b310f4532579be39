//! Publishes snapshots of control's state to traffic.

use std::collections::HashMap;
use std::sync::Arc;

use azuresaddle_core::deployment::RateLimit;
use azuresaddle_core::prelude::*;
use azuresaddle_platform::StorePosition;
use tokio::time::Instant;

use super::actor::Control;
use super::published_targets::PublishedTargets;
use crate::snapshot::{Snapshot, TargetSet};

/// Share of the rate that a cold target tolerates. While the owner changes, two nodes may each let
/// this share through.
const COLD_RATE_SHARE: f64 = 0.5;

impl<N: Network> Control<N> {
    /// Publishes the changes, and sends heartbeats to gossip peers if this node's state changed.
    pub(super) async fn publish_and_gossip(&mut self) {
        self.has_changes = false;
        let now = Instant::now();
        self.published_at = now;
        let claimed = self.members.claim_if_first(now);
        let has_news = self.publish();
        if claimed {
            self.announce_claim(now).await;
        }
        if has_news {
            // Spread the new state at once instead of with the next round.
            let peers = self.members.gossip_peers();
            self.send_heartbeats(Instant::now(), &peers).await;
        }
    }

    /// Publishes a snapshot; true if other nodes should learn of this node's new state.
    pub(super) fn publish(&mut self) -> bool {
        let version = self.version();
        let position = if self.has_all_targets() {
            self.registry.position()
        } else {
            StorePosition::default()
        };
        let PublishedTargets {
            targets,
            records,
            drains,
            hash,
        } = self.registry.published();
        let mut has_news = false;
        let is_leaving = self.members.is_leaving();
        self.members.update_own(|own| {
            let announced = (own.configuration, own.targets, own.targets_hash);
            has_news = announced != (version, position, hash) || is_leaving;
            own.configuration = version;
            own.targets = position;
            own.targets_hash = hash;
        });
        let (nodes, owner) = self.members.live_nodes(Instant::now());
        let before = self.snapshots.load();
        self.log_changes(&before, &targets, nodes.len(), owner);
        self.metrics.configuration_version.set(version);
        self.metrics.targets.set(targets.len() as i64);
        self.metrics.nodes.set(nodes.len() as i64);
        self.metrics
            .is_owner
            .set(i64::from(owner == self.members.incarnation()));
        let drained_domains = self.registry.drained_domains().len();
        self.metrics.drained_domains.set(drained_domains as i64);
        let rate_limits = Arc::new(self.rate_limits(&targets));
        let target_verdicts = self.update_plain_targets(&targets);
        self.snapshots.publish(Snapshot {
            rate_limits,
            target_verdicts,
            configuration: self.configuration.clone(),
            raw_configuration: self.raw_configuration.clone(),
            targets,
            target_records: records,
            domain_drains: drains,
            target_position: position,
            nodes: Arc::new(nodes),
            running_nodes: self.members.running_nodes(),
            owner,
            is_leaving: self.members.is_leaving(),
        });
        has_news
    }

    /// Rate limits that targets announced, and those of cold targets.
    fn rate_limits(&self, targets: &TargetSet) -> HashMap<HostName, RateLimit> {
        let mut limits = self.signals.rate_limits(targets);
        let Some(configuration) = &self.configuration else {
            return limits;
        };
        let mut cold_targets = 0;
        for id in self.registry.cold_targets(Instant::now()) {
            let Some(target) = targets.get(id) else {
                continue;
            };
            cold_targets += 1;
            let service = configuration.service(&target.service);
            let Some(cold) = service.and_then(|s| s.cold_limit) else {
                continue;
            };
            let limit = cold.scaled(COLD_RATE_SHARE);
            let announced = limits.entry(id.clone()).or_insert(limit);
            *announced = announced.lower(limit);
        }
        self.metrics.cold_targets.set(cold_targets);
        limits
    }

    fn log_changes(&self, before: &Snapshot, targets: &TargetSet, nodes: usize, owner: u64) {
        if before.targets.len() != targets.len() {
            tracing::info!(
                part = "control",
                targets = targets.len(),
                era = self.registry.position().era.0,
                revision = self.registry.position().revision,
                "targets changed"
            );
        }
        if before.nodes.len() != nodes || before.owner != owner {
            tracing::info!(part = "control", nodes, owner, "membership changed");
        }
    }
}
