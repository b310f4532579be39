//! Failure domains that the operator drains: their targets get no new requests from any node.

use std::collections::HashMap;

use azuresaddle_core::prelude::*;
use azuresaddle_platform::StorePosition;
use tokio::time::Instant;

use super::domain_drain::DomainDrain;

/// Known drains by failure domain.
///
/// Ended drains are kept, so that outdated updates do not restore them; there is at most one record
/// for each name that the operator has ever used.
#[derive(Debug, Default)]
pub(super) struct DomainDrains {
    records: HashMap<FailureDomain, DrainRecord>,
}

#[derive(Debug)]
struct DrainRecord {
    drain: DomainDrain,
    /// End of a drain that a rolled-back store lacks: when it takes effect, and its position.
    pending_end: Option<(Instant, StorePosition)>,
}

impl DomainDrains {
    /// Returns whether the targets of a failure domain get no new requests.
    pub(super) fn is_active(&self, domain: &FailureDomain) -> bool {
        let record = self.records.get(domain);
        record.is_some_and(|r| r.drain.is_active)
    }

    /// Names of the failure domains that are drained.
    pub(super) fn active(&self) -> impl Iterator<Item = &FailureDomain> {
        self.all().filter(|d| d.is_active).map(|d| &d.domain)
    }

    /// All known drains, including those that have ended.
    pub(super) fn all(&self) -> impl Iterator<Item = &DomainDrain> {
        self.records.values().map(|r| &r.drain)
    }

    pub(super) fn knows(&self, domain: &FailureDomain) -> bool {
        self.records.contains_key(domain)
    }

    /// Merges a record; true if it changed whether the domain is drained.
    pub(super) fn merge(&mut self, drain: DomainDrain) -> bool {
        let Some(record) = self.records.get_mut(&drain.domain) else {
            let is_active = drain.is_active;
            let record = DrainRecord {
                drain: drain.clone(),
                pending_end: None,
            };
            self.records.insert(drain.domain, record);
            return is_active;
        };
        if drain.position <= record.drain.position {
            return false;
        }
        record.pending_end = None;
        let before = std::mem::replace(&mut record.drain, drain);
        before.is_active != record.drain.is_active
    }

    /// Ends the drains that a complete listing at a position lacks; true if any ended.
    ///
    /// Those of an earlier era end at `rollback_grace_until`: the store was rolled back, and the
    /// operator writes again what it has lost.
    pub(super) fn end_unlisted(
        &mut self,
        now: Instant,
        is_listed: impl Fn(&FailureDomain) -> bool,
        at: StorePosition,
        rollback_grace_until: Option<Instant>,
    ) -> bool {
        let mut changed = false;
        for record in self.records.values_mut() {
            let drain = &record.drain;
            if !drain.is_active || is_listed(&drain.domain) || drain.position > at {
                continue;
            }
            let is_rolled_back = drain.position.era < at.era;
            let grace = rollback_grace_until.filter(|until| is_rolled_back && now < *until);
            match grace {
                Some(until) => record.pending_end = Some((until, at)),
                None => changed |= record.end(at),
            }
        }
        changed
    }

    /// Ends the drains whose grace period is over; true if any ended.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        let mut changed = false;
        for record in self.records.values_mut() {
            if let Some((_, at)) = record.pending_end.take_if(|(until, _)| now >= *until) {
                changed |= record.end(at);
            }
        }
        changed
    }
}

impl DrainRecord {
    fn end(&mut self, at: StorePosition) -> bool {
        self.pending_end = None;
        self.drain.position = at;
        std::mem::replace(&mut self.drain.is_active, false)
    }
}
