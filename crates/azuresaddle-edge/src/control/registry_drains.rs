//! Applies drains of failure domains to the registry of targets.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_platform::{StoreItem, StorePosition, drained_domain};
use tokio::time::Instant;

use super::domain_drain::DomainDrain;
use super::registry::Registry;

/// Time for which the targets of a domain count as cold after its drain has ended: two of their
/// heartbeats, after which their entries say whether they are.
const COLD_AFTER_DRAIN: Duration = Duration::from_millis(2500);

impl Registry {
    /// Applies a change of a drain from the store; true if the published targets change.
    pub(super) fn apply_drain_item(&mut self, now: Instant, item: &StoreItem) -> bool {
        let Some(domain) = drained_domain(&item.key) else {
            return false;
        };
        let drain = DomainDrain {
            domain,
            is_active: item.value.is_some(),
            position: item.position,
        };
        self.merge_drain(now, drain)
    }

    /// Applies another node's record of a drain; true if the published targets change.
    pub(super) fn apply_drain(&mut self, now: Instant, drain: DomainDrain) -> bool {
        let read_up_to = self.read_up_to();
        let was_missing = drain.position <= read_up_to && !self.drains.knows(&drain.domain);
        if !was_missing {
            return self.merge_drain(now, drain);
        }
        // This node has read the store at a later position. The drain has ended, unless the store
        // has lost it in a rollback and the operator is about to write it again.
        let is_same_era = drain.position.era == read_up_to.era;
        let grace = self.rollback_grace_until();
        let grace = grace.filter(|until| !is_same_era && now < *until);
        if grace.is_none() {
            return false;
        }
        let domain = drain.domain.clone();
        let changed = self.merge_drain(now, drain);
        self.drains
            .end_unlisted(now, |other| *other != domain, read_up_to, grace);
        changed
    }

    fn merge_drain(&mut self, now: Instant, drain: DomainDrain) -> bool {
        self.on_era(now, drain.position.era);
        self.on_synced(drain.position);
        let domain = drain.domain.clone();
        let has_changed = self.drains.merge(drain);
        // Other nodes fetch the record also if it changes nothing.
        self.published = None;
        if has_changed {
            self.on_drain_changed(now, &domain);
        }
        has_changed
    }

    /// Ends the drains that a complete listing lacks; true if the published targets change.
    pub(super) fn end_unlisted_drains(
        &mut self,
        now: Instant,
        listed: &[FailureDomain],
        at: StorePosition,
    ) -> bool {
        let before = self.drained_domains();
        let grace = self.rollback_grace_until();
        self.drains
            .end_unlisted(now, |domain| listed.contains(domain), at, grace);
        self.on_drains_ended(now, &before)
    }

    /// Ends the drains whose grace period is over; true if the published targets change.
    pub(super) fn expire_drains(&mut self, now: Instant) -> bool {
        let before = self.drained_domains();
        self.drains.expire(now);
        self.on_drains_ended(now, &before)
    }

    /// Names of the failure domains that are drained, sorted.
    pub(super) fn drained_domains(&self) -> Vec<FailureDomain> {
        let mut domains: Vec<FailureDomain> = self.drains.active().cloned().collect();
        domains.sort();
        domains
    }

    fn on_drains_ended(&mut self, now: Instant, before: &[FailureDomain]) -> bool {
        let mut changed = false;
        for domain in before {
            if !self.drains.is_active(domain) {
                self.on_drain_changed(now, domain);
                changed = true;
            }
        }
        changed
    }

    fn on_drain_changed(&mut self, now: Instant, domain: &FailureDomain) {
        self.published = None;
        let is_drained = self.drains.is_active(domain);
        tracing::info!(part = "control", %domain, is_drained, "drain of a failure domain changed");
        if is_drained {
            return;
        }
        for entry in self.entries.values_mut() {
            let of_domain = entry.record.entry().filter(|e| e.domain == *domain);
            if of_domain.is_some() {
                entry.extend_cold(now + COLD_AFTER_DRAIN);
            }
        }
    }
}
