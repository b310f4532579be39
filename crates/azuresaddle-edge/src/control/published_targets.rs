//! What the registry publishes of its targets, and who drains by its own announcement.

use std::collections::HashSet;
use std::sync::Arc;

use azuresaddle_core::deployment::{TargetEntry, TargetStart, TargetState};
use azuresaddle_core::prelude::*;

use super::registry::Registry;
use super::target_record::TargetRecord;
use crate::snapshot::TargetSet;

/// What other parts and other nodes are told of the targets; cheap to clone.
#[derive(Clone, Debug)]
pub(super) struct PublishedTargets {
    /// Targets that take new work.
    pub(super) targets: Arc<TargetSet>,
    /// All that is known, for other nodes.
    pub(super) records: Arc<Vec<Arc<TargetRecord>>>,
    /// Hash of the targets that are believed in.
    pub(super) hash: u32,
}

impl Registry {
    /// What other parts and other nodes are told, built anew only after a change.
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

    /// Notes that a start of a target takes no new work any more, by its own announcement.
    pub(super) fn on_draining(&mut self, target: &HostName, started: TargetStart) {
        self.draining.insert(target.clone(), started);
        self.published = None;
    }

    /// Forgets such announcements, except those of targets that `keep` names.
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

    /// Targets that take new work.
    pub(super) fn targets(&self) -> TargetSet {
        let entries = self
            .entries
            .values()
            .filter_map(|h| h.record.entry().cloned());
        TargetSet::new(entries.filter(|e| e.state == TargetState::Ready && !self.is_draining(e)))
    }

    /// Hash of the targets that are believed in.
    ///
    /// Two nodes that heard of the same changes can still differ for a while, where one takes a
    /// removal for a lapse of an outage; the hash shows it.
    fn hash(&self) -> u32 {
        let mut hash = 0;
        for held in self.entries.values() {
            let Some(entry) = held.record.entry() else {
                continue;
            };
            let state = u8::from(entry.state == TargetState::Ready);
            let key = format!("{}/{state}/{}", held.record.key(), entry.started.0);
            // Addition makes the order of the entries irrelevant.
            hash = u32::wrapping_add(hash, xxhash_rust::xxh3::xxh3_64(key.as_bytes()) as u32);
        }
        hash
    }
}
