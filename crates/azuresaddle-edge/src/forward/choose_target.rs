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
            let (target, in_flight) = self.health.pick(targets, exclude, &self.domain)?;
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

    /// Time until the first target of a service accepts a request; `None` unless all of them are rate-limited or in
    /// back-off.
    pub(super) fn retry_in(&self, service: &str) -> Option<Duration> {
        let snapshot = self.snapshots.load();
        self.health.retry_in(snapshot.targets.of_service(service))
    }
}
