//! Registry of targets, by their entries in the store, with protection against outages and
//! rollbacks of the store.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::deployment::TargetStart;
use azuresaddle_core::prelude::*;
use azuresaddle_platform::{DecodeError, StoreEra, StoreItem, StorePosition};
use tokio::time::Instant;

use super::domain_drains::DomainDrains;
use super::published_targets::PublishedTargets;
use super::registry_entry::RegistryEntry;
use super::target_record::{TargetRecord, TargetUpdate};

/// Grace period for which an entry is kept that the store lost in an outage or a rollback to an
/// older copy: a live target registers again within about two seconds.
const REMOVAL_GRACE: Duration = Duration::from_millis(2200);

/// Time for which a removal is remembered, so that neither older updates nor an older copy of the
/// store restore the entry.
const TOMBSTONE_TTL: Duration = Duration::from_secs(60);

/// Target entries by key.
#[derive(Debug, Default)]
pub(super) struct Registry {
    pub(super) entries: HashMap<Arc<str>, RegistryEntry>,
    /// Failure domains that the operator drains.
    pub(super) drains: DomainDrains,
    /// Position of the latest known change.
    position: StorePosition,
    /// Position up to which this node has read all changes from the store itself.
    read_up_to: StorePosition,
    /// Latest known era of the store.
    era: StoreEra,
    /// End of the period in which removals are treated as lapses caused by an outage; `None` once
    /// all changes of the outage are known.
    outage_grace_until: Option<Instant>,
    /// End of the period in which entries are kept that the store lost in its latest rollback.
    rollback_grace_until: Option<Instant>,
    /// End of the period in which an entry that the last listing lacked may be a lapse that other
    /// nodes still tolerate.
    listing_grace_until: Option<Instant>,
    /// Starts of targets that announced in an answer that they are draining, whatever their entries
    /// say: an unavailable or slow store does not delay this.
    pub(super) draining: HashMap<HostName, TargetStart>,
    /// Cached result of `published`; `None` after a change. Rebuilding it takes milliseconds with
    /// 3,000 targets, and membership changes far more often than the targets do.
    pub(super) published: Option<PublishedTargets>,
}

impl Registry {
    /// Position of the latest known change.
    pub(super) fn position(&self) -> StorePosition {
        self.position
    }

    /// Starts the grace period after an outage of the store.
    pub(super) fn on_store_reconnected(&mut self, now: Instant) {
        self.outage_grace_until = Some(now + REMOVAL_GRACE);
    }

    /// Ends the grace period once all changes of an outage are known; later removals are genuine.
    ///
    /// If they were still treated as lapses, a target that leaves right after the node has
    /// reconnected to the store would receive work after its departure.
    pub(super) fn on_caught_up(&mut self) {
        self.outage_grace_until = None;
    }

    /// Position up to which this node has read all changes from the store itself.
    pub(super) fn read_up_to(&self) -> StorePosition {
        self.read_up_to
    }

    /// Until when entries are kept that the store lost in its latest rollback.
    pub(super) fn rollback_grace_until(&self) -> Option<Instant> {
        self.rollback_grace_until
    }

    /// Latest known era of the store.
    pub(super) fn era(&self) -> StoreEra {
        self.era
    }

    /// Records the era of the store. When a later era begins, entries that the store has lost are
    /// kept for the grace period.
    pub(super) fn on_era(&mut self, now: Instant, era: StoreEra) {
        if era <= self.era {
            return;
        }
        self.era = era;
        self.rollback_grace_until = Some(now + REMOVAL_GRACE);
    }

    /// Records the position up to which this node has read the store itself.
    pub(super) fn on_read_up_to(&mut self, at: StorePosition) {
        self.read_up_to = self.read_up_to.max(at);
    }

    /// Records that this node knows all changes that another node knew at that position.
    pub(super) fn on_synced(&mut self, at: StorePosition) {
        self.position = self.position.max(at);
    }

    /// Applies one change from the store; true if the targets changed.
    pub(super) fn apply(&mut self, now: Instant, item: StoreItem) -> bool {
        let (record, error) = TargetRecord::from_item(item);
        if record.is_removed() {
            return self.remove(now, record.key(), record.position());
        }
        if let Some(error) = error {
            self.log_unreadable(&record, &error);
        }
        self.merge(now, record)
    }

    /// Applies a record of another node; true if the targets changed.
    pub(super) fn apply_update(&mut self, now: Instant, update: TargetUpdate) -> bool {
        let (record, _) = TargetRecord::from_update(update);
        let key = Arc::clone(record.key());
        let is_unknown = !self.entries.contains_key(&key);
        let position = record.position();
        let changed = self.merge(now, record);
        if is_unknown && position <= self.read_up_to {
            // This node has read the store at a later position, and the entry was missing.
            return self.remove_if_absent_from_store(now, &key, position) | changed;
        }
        changed
    }

    /// Removes an entry that was missing when this node read the store. The removal takes effect
    /// after the grace period if the entry may have lapsed in an outage or was last seen before a
    /// rollback.
    fn remove_if_absent_from_store(
        &mut self,
        now: Instant,
        key: &str,
        position: StorePosition,
    ) -> bool {
        let grace = if position.era == self.read_up_to.era {
            self.listing_grace_until
        } else {
            self.rollback_grace_until
        };
        let grace = grace.filter(|until| now < *until);
        self.remove_in_grace(now, key, self.read_up_to, grace)
    }

    fn merge(&mut self, now: Instant, record: TargetRecord) -> bool {
        self.on_era(now, record.position().era);
        self.position = self.position.max(record.position());
        let Some(entry) = self.entries.get_mut(record.key()) else {
            let has_entry = record.entry().is_some();
            let entry = RegistryEntry::new(now, record);
            self.entries.insert(Arc::clone(entry.record.key()), entry);
            self.published = None;
            return has_entry;
        };
        if record.entry().is_some() {
            // The store contains the entry again.
            entry
                .pending_removal
                .take_if(|(_, at)| record.position() > *at);
        }
        let merged = entry.record.merged(&record);
        if record.entry().is_some() && record.number() < merged.number() {
            // The write was delayed on its way to the store, or the store has been rolled back.
            tracing::debug!(part = "control", key = %record.key(), "outdated target entry ignored");
        }
        if merged.is_same(&entry.record) {
            return false;
        }
        self.published = None;
        entry.replace(now, merged)
    }

    fn log_unreadable(&self, record: &TargetRecord, error: &DecodeError) {
        let known = self.entries.get(record.key());
        if known.is_none_or(|h| !h.record.is_unreadable()) {
            tracing::warn!(part = "control", %error, "target entry could not be decoded");
        }
    }

    /// Applies a removal; one that may be a lapse caused by an outage takes effect after the grace
    /// period.
    fn remove(&mut self, now: Instant, key: &str, at: StorePosition) -> bool {
        self.on_era(now, at.era);
        self.position = self.position.max(at);
        let grace = self.outage_grace_until.filter(|until| now < *until);
        self.remove_in_grace(now, key, at, grace)
    }

    fn remove_in_grace(
        &mut self,
        now: Instant,
        key: &str,
        at: StorePosition,
        grace: Option<Instant>,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(key) else {
            return false;
        };
        if at < entry.record.position() || entry.record.is_removed() {
            return false;
        }
        if let Some(until) = grace
            && entry.is_ready()
        {
            let is_of_this_copy = |(_, known): &(Instant, StorePosition)| known.era == at.era;
            let known = entry.pending_removal.filter(is_of_this_copy);
            entry.pending_removal = known.or(Some((until, at)));
            return false;
        }
        self.published = None;
        let removed = entry.record.removed(at);
        entry.replace(now, removed)
    }

    /// Applies a complete listing that was read at a position; true if the targets changed.
    pub(super) fn apply_listing(
        &mut self,
        now: Instant,
        items: Vec<StoreItem>,
        at: StorePosition,
    ) -> bool {
        self.on_era(now, at.era);
        self.listing_grace_until = Some(now + REMOVAL_GRACE);
        let listed: HashSet<String> = items.iter().map(|i| i.key.clone()).collect();
        let mut changed = false;
        for item in items {
            changed |= self.apply(now, item);
        }
        let missing = self.entries.iter();
        let missing =
            missing.filter(|(key, h)| !h.record.is_removed() && !listed.contains(&***key));
        let missing: Vec<Arc<str>> = missing.map(|(key, _)| Arc::clone(key)).collect();
        for key in missing {
            let grace = self.grace_for_missing(now, &key, at.era);
            changed |= self.remove_in_grace(now, &key, at, grace);
        }
        self.on_read_up_to(at);
        changed
    }

    /// Returns until when an entry is kept that a listing lacks.
    fn grace_for_missing(&self, now: Instant, key: &str, era: StoreEra) -> Option<Instant> {
        let known = self.entries.get(key).map(|h| h.record.position().era);
        let grace = if known.is_some_and(|known| known < era) {
            self.rollback_grace_until
        } else {
            self.outage_grace_until
        };
        grace.filter(|until| now < *until)
    }

    /// Applies removals whose grace period is over; true if the targets changed.
    pub(super) fn expire_removals(&mut self, now: Instant) -> bool {
        let mut changed = false;
        let read_up_to = self.read_up_to;
        for entry in self.entries.values_mut() {
            if let Some((_, at)) = entry.pending_removal.take_if(|(until, _)| now >= *until) {
                // The entry is missing up to the position read so far; other nodes treat a change
                // at a later position as an update.
                let at = if read_up_to.era == at.era {
                    at.max(read_up_to)
                } else {
                    at
                };
                let removed = entry.record.removed(at);
                entry.replace(now, removed);
                changed = true;
            }
        }
        let before = self.entries.len();
        self.entries.retain(|_, h| {
            h.removed_at
                .is_none_or(|at| now.saturating_duration_since(at) < TOMBSTONE_TTL)
        });
        if changed || self.entries.len() != before {
            self.published = None;
        }
        changed
    }
}
