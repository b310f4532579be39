//! The registry's published view of the targets, and targets that announced that they are draining.

use std::collections::HashSet;
use std::sync::Arc;

use azuresaddle_core::deployment::{TargetEntry, TargetStart, TargetState};
use azuresaddle_core::prelude::*;

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
    /// Hash of the targets with an entry.
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
        TargetSet::new(entries.filter(|e| e.state == TargetState::Ready && !self.is_draining(e)))
    }

    /// Hash of the targets with an entry.
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
        hash
    }
}
