//! Targets by their entries in the store, and what the store's outages do to them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::deployment::{TargetEntry, TargetStart, TargetState};
use azuresaddle_platform::{DecodeError, Item, decode_target};
use tokio::time::Instant;

use crate::snapshot::TargetSet;

/// Time for which an entry that lapsed while the store was away is still believed: a target that
/// lives registers again within about two seconds.
const RETURN_GRACE: Duration = Duration::from_millis(2200);

/// Time for which a removed entry is remembered, so that older news of it is not believed.
const TOMBSTONE_KEPT: Duration = Duration::from_secs(60);

/// What is known of one entry.
#[derive(Debug)]
struct Held {
    item: Arc<Item>,
    /// The decoded entry; `None` where it was removed or names no target.
    entry: Option<Arc<TargetEntry>>,
    /// Start and number of the latest entry that was read, also after its removal.
    latest: (TargetStart, u64),
    /// Whether the present value can't be read, so that this is logged once.
    is_unreadable: bool,
    /// Removal that is believed later, and when.
    give_up: Option<(Instant, Arc<Item>)>,
    /// When the removal was learned.
    removed_at: Option<Instant>,
}

/// Entries by key; only newer revisions replace older ones.
#[derive(Debug, Default)]
pub(super) struct Registry {
    held: HashMap<String, Held>,
    revision: u64,
    /// Until when removals are taken for lapses of an outage; `None` once all that happened in it is
    /// known.
    grace_until: Option<Instant>,
    /// What was published last; `None` once something has changed. Building it anew takes
    /// milliseconds at 3,000 targets, and membership changes far more often than they do.
    published: Option<Published>,
}

/// What other parts and other nodes are told of the targets; cheap to clone.
#[derive(Clone, Debug)]
pub(super) struct Published {
    /// Targets that take new work.
    pub(super) targets: Arc<TargetSet>,
    /// All that is known, as it was written.
    pub(super) items: Arc<Vec<Arc<Item>>>,
    /// Hash of the targets that are believed in.
    pub(super) hash: u32,
}

impl Registry {
    /// Revision of the last change that is known.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Notes that the store answers again.
    pub(super) fn on_store_back(&mut self, now: Instant) {
        self.grace_until = Some(now + RETURN_GRACE);
    }

    /// Notes that all changes of an outage are known: what is removed from now on has left.
    ///
    /// Held like a lapse, the removal of a target that left right after a node had regained the store
    /// was believed 2.1 s later, and work was sent there past its time.
    pub(super) fn on_caught_up(&mut self) {
        self.grace_until = None;
    }

    /// Takes one change; true where the targets are different now.
    pub(super) fn apply(&mut self, now: Instant, item: Item) -> bool {
        let item = Arc::new(item);
        let known = self.held.get(&item.key);
        if known.is_some_and(|h| h.item.revision >= item.revision) {
            return false;
        }
        self.revision = self.revision.max(item.revision);
        self.published = None;
        let Some(value) = &item.value else {
            return self.remove(now, item);
        };
        let entry = match decode_target(&item.key, value) {
            Ok(entry) => Arc::new(entry),
            Err(e) => return self.on_unreadable(item, &e),
        };
        let latest = (entry.started, entry.sequence);
        if known.is_some_and(|h| latest < h.latest) {
            // A write that was carried out long after it was sent.
            tracing::info!(part = "control", target = %entry.id, "older target entry ignored");
            return false;
        }
        let before = known.and_then(|h| h.entry.as_ref());
        let changed = before.is_none_or(|b| !b.is_same_state(&entry));
        let held = Held {
            entry: Some(entry),
            latest,
            is_unreadable: false,
            give_up: None,
            removed_at: None,
            item,
        };
        self.held.insert(held.item.key.clone(), held);
        changed
    }

    /// Takes an entry of another writer: it names no target to use, whatever the key named before.
    fn on_unreadable(&mut self, item: Arc<Item>, error: &DecodeError) -> bool {
        let known = self.held.remove(&item.key);
        if known.as_ref().is_none_or(|h| !h.is_unreadable) {
            tracing::warn!(part = "control", %error, "target entry not readable");
        }
        let held = Held {
            entry: None,
            latest: known.as_ref().map(|h| h.latest).unwrap_or_default(),
            is_unreadable: true,
            give_up: None,
            removed_at: None,
            item,
        };
        self.held.insert(held.item.key.clone(), held);
        known.is_some_and(|h| h.entry.is_some())
    }

    fn remove(&mut self, now: Instant, item: Arc<Item>) -> bool {
        let in_grace = self.grace_until.is_some_and(|until| now < until);
        let Some(held) = self.held.get_mut(&item.key) else {
            return false;
        };
        if in_grace
            && held
                .entry
                .as_ref()
                .is_some_and(|e| e.state == TargetState::Ready)
        {
            let until = self.grace_until.unwrap_or(now);
            held.give_up.get_or_insert((until, item));
            return false;
        }
        held.item = item;
        held.removed_at = Some(now);
        held.give_up = None;
        held.is_unreadable = false;
        held.entry.take().is_some()
    }

    /// Takes a full listing that was read at a revision; true where the targets are different now.
    pub(super) fn apply_listing(&mut self, now: Instant, items: Vec<Item>, at: u64) -> bool {
        let listed: std::collections::HashSet<String> =
            items.iter().map(|i| i.key.clone()).collect();
        let mut changed = false;
        for item in items {
            changed |= self.apply(now, item);
        }
        let missing: Vec<String> = self
            .held
            .values()
            .filter(|h| h.entry.is_some() && !listed.contains(&h.item.key))
            .filter(|h| h.item.revision < at)
            .map(|h| h.item.key.clone())
            .collect();
        for key in missing {
            let gone = Item {
                key,
                value: None,
                revision: at,
            };
            changed |= self.apply(now, gone);
        }
        changed
    }

    /// Gives up entries whose grace is over; true where the targets are different now.
    pub(super) fn check(&mut self, now: Instant) -> bool {
        let mut changed = false;
        for held in self.held.values_mut() {
            if let Some((_, removal)) = held.give_up.take_if(|(at, _)| now >= *at) {
                held.item = removal;
                held.removed_at = Some(now);
                held.entry = None;
                changed = true;
            }
        }
        let before = self.held.len();
        self.held.retain(|_, h| {
            h.removed_at
                .is_none_or(|at| now.saturating_duration_since(at) < TOMBSTONE_KEPT)
        });
        if changed || self.held.len() != before {
            self.published = None;
        }
        changed
    }

    /// What other parts and other nodes are told, built anew only after a change.
    pub(super) fn published(&mut self) -> Published {
        if let Some(published) = &self.published {
            return published.clone();
        }
        let items = self.held.values().map(|h| Arc::clone(&h.item)).collect();
        let published = Published {
            targets: Arc::new(self.targets()),
            items: Arc::new(items),
            hash: self.hash(),
        };
        self.published = Some(published.clone());
        published
    }

    /// Targets that take new work.
    pub(super) fn targets(&self) -> TargetSet {
        let entries = self.held.values().filter_map(|h| h.entry.clone());
        TargetSet::new(entries.filter(|e| e.state == TargetState::Ready))
    }

    /// Hash of the targets that are believed in.
    ///
    /// Two nodes that heard of the same changes can still differ for a while, where one takes a
    /// removal for a lapse of an outage; the hash shows it.
    fn hash(&self) -> u32 {
        let mut hash = 0;
        for held in self.held.values() {
            let Some(entry) = &held.entry else {
                continue;
            };
            let state = u8::from(entry.state == TargetState::Ready);
            let key = format!("{}/{state}/{}", held.item.key, entry.started.0);
            // Addition makes the order of the entries irrelevant.
            hash = u32::wrapping_add(hash, xxhash_rust::xxh3::xxh3_64(key.as_bytes()) as u32);
        }
        hash
    }
}
