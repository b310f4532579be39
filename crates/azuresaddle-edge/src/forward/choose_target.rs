//! Chooses a target for a request that does not need placement by the pool's owner.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::deployment::TargetEntry;
use azuresaddle_core::prelude::*;

use super::forwarder::Forwarder;
use crate::peer::PermitRequest;
use crate::targets::InFlightGuard;

impl<N: Network> Forwarder<N> {
    /// Chooses the target with the shortest expected wait that accepts a request now; `None` if there is none.
    pub(super) async fn choose_target(
        &self,
        service: &str,
        exclude: &[HostName],
    ) -> Option<(Arc<TargetEntry>, InFlightGuard)> {
        loop {
            let snapshot = self.snapshots.load();
            let targets = snapshot.targets.of_service(service);
            let verdicts = &snapshot.target_verdicts;
            let picked = self
                .health
                .pick_accepted(targets, verdicts, exclude, &self.domain);
            let (target, in_flight) = picked?;
            let Some(limit) = snapshot.rate_limits.get(&target.id).copied() else {
                return Some((target, in_flight));
            };
            let request = PermitRequest {
                target: target.id.clone(),
                limit,
            };
            match self.placement.permit(request).await {
                Ok(()) => return Some((target, in_flight)),
                Err(wait) => {
                    self.metrics.on_held_back(service, "rate-limit");
                    self.health.on_limited(&target.id, wait);
                }
            }
        }
    }

    /// Whether a request that was not sent to `target` can go to another target, according to what all nodes observe.
    /// `false` if nodes don't share that.
    pub(super) fn has_other_target(
        &self,
        service: &str,
        target: &HostName,
        exclude: &[HostName],
    ) -> bool {
        if !self.observations.is_enabled() {
            return false;
        }
        let snapshot = self.snapshots.load();
        let verdicts = &snapshot.target_verdicts;
        let mut targets = snapshot.targets.of_service(service).iter();
        targets.any(|t| t.id != *target && !exclude.contains(&t.id) && verdicts.accepts(&t.id))
    }

    /// Time until the first target of a service accepts a request; `None` unless all of them are rate-limited or in
    /// back-off.
    pub(super) fn retry_in(&self, service: &str) -> Option<Duration> {
        let snapshot = self.snapshots.load();
        let targets = snapshot.targets.of_service(service);
        let verdicts = &snapshot.target_verdicts;
        if verdicts.is_empty() {
            return self.health.retry_in(targets);
        }
        let accepted = targets.iter().filter(|t| verdicts.accepts(&t.id));
        let accepted: Vec<Arc<TargetEntry>> = accepted.cloned().collect();
        self.health.retry_in(&accepted)
    }
}
