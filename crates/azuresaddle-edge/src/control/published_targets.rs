//! The registry's published view of the targets, and targets that announced that they are draining.

use std::collections::HashSet;
use std::sync::Arc;

use azuresaddle_core::deployment::{TargetEntry, TargetStart, TargetState};
use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::domain_drain::DomainDrain;
use super::registry::Registry;
use super::target_record::TargetRecord;
use crate::snapshot::TargetSet;

/// The targets as published to traffic and to other nodes; cheap to clone.
#[derive(Clone, Debug)]
pub(super) struct PublishedTargets {
    /// Targets that accept new work.
    pub(super) targets: Arc<TargetSet>,
    /// All records, for other nodes.
    pub(super) records: Arc<Vec<Arc<TargetRecord>>>,
    /// All records of drained failure domains, for other nodes.
    pub(super) drains: Arc<Vec<DomainDrain>>,
    /// Hash of the targets with an entry and of the drained failure domains.
    pub(super) hash: u32,
}

impl Registry {
    /// Returns the published view, rebuilt only after a change.
    pub(super) fn published(&mut self) -> PublishedTargets {
        if let Some(published) = &self.published {
            return published.clone();
        }
        let records = self
            .entries
            .values()
            .map(|h| Arc::clone(&h.record))
            .collect();
        let published = PublishedTargets {
            targets: Arc::new(self.targets()),
            records: Arc::new(records),
            drains: Arc::new(self.drains.all().cloned().collect()),
            hash: self.hash(),
        };
        self.published = Some(published.clone());
        published
    }

    /// Records that a start of a target has announced that it accepts no more work.
    pub(super) fn on_draining(&mut self, target: &HostName, started: TargetStart) {
        self.draining.insert(target.clone(), started);
        self.published = None;
    }

    /// Drops these announcements, except those of targets that `keep` selects.
    pub(super) fn retain_draining(&mut self, keep: impl Fn(&HostName) -> bool) {
        self.draining.retain(|target, _| keep(target));
    }

    /// Names of all targets that have an entry.
    pub(super) fn names(&self) -> HashSet<HostName> {
        let entries = self.entries.values().filter_map(|h| h.record.entry());
        entries.map(|e| e.id.clone()).collect()
    }

    fn is_draining(&self, target: &TargetEntry) -> bool {
        self.draining.get(&target.id) == Some(&target.started)
    }

    /// Targets that accept new work.
    pub(super) fn targets(&self) -> TargetSet {
        let entries = self
            .entries
            .values()
            .filter_map(|h| h.record.entry().cloned());
        TargetSet::new(entries.filter(|e| self.accepts_work(e)))
    }

    fn accepts_work(&self, target: &TargetEntry) -> bool {
        target.state == TargetState::Ready
            && !self.is_draining(target)
            && !self.drains.is_active(&target.domain)
    }

    /// Names of the targets that are cold.
    pub(super) fn cold_targets(&self, now: Instant) -> impl Iterator<Item = &HostName> {
        let cold = self.entries.values().filter(move |h| h.is_cold(now));
        cold.filter_map(|h| h.record.entry()).map(|e| &e.id)
    }

    /// Ends the cold time of targets where it is over; true if any ended.
    pub(super) fn expire_cold(&mut self, now: Instant) -> bool {
        let entries = self.entries.values_mut();
        entries.fold(false, |changed, h| h.expire_cold(now) | changed)
    }

    /// Hash of the targets with an entry and of the drained failure domains.
    ///
    /// Two nodes that know the same changes can still differ for a while if one of them treats a
    /// removal as a lapse caused by an outage; the hash reveals this.
    fn hash(&self) -> u32 {
        let mut hash = 0;
        for registered in self.entries.values() {
            let Some(entry) = registered.record.entry() else {
                continue;
            };
            let state = u8::from(entry.state == TargetState::Ready);
            let key = format!("{}/{state}/{}", registered.record.key(), entry.started.0);
            // Addition makes the hash independent of the order of the entries.
            hash = u32::wrapping_add(hash, xxhash_rust::xxh3::xxh3_64(key.as_bytes()) as u32);
        }
        for domain in self.drains.active() {
            let hashed = xxhash_rust::xxh3::xxh3_64(domain.as_str().as_bytes()) as u32;
            hash = u32::wrapping_add(hash, hashed);
        }
        hash
    }
}
