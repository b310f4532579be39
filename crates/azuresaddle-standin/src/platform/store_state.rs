//! State of the stand-in for the platform's store: keys, change history and leases.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use super::store::StoreFault;
use super::undo_log::{Undo, UndoLog};

/// Maximum number of changes kept in the history; older ones are compacted.
const MAX_HISTORY: usize = 2000;

/// A stored value with its revisions and its lease; lease 0 stands for none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Stored {
    pub(super) value: Vec<u8>,
    pub(super) revision: u64,
    pub(super) created: u64,
    pub(super) lease: u64,
}

/// A change of one key; `stored` is `None` if the key was removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Change {
    pub(super) key: String,
    pub(super) stored: Option<Stored>,
    pub(super) revision: u64,
}

/// State of the store.
#[derive(Default)]
pub(super) struct State {
    /// Number of rollbacks to an older copy.
    pub(super) rollbacks: u64,
    pub(super) undo: UndoLog,
    pub(super) items: BTreeMap<String, Stored>,
    pub(super) history: VecDeque<Change>,
    /// Changes up to this revision are no longer in the history.
    pub(super) compacted: u64,
    pub(super) revision: u64,
    pub(super) leases: HashMap<u64, (Duration, Instant)>,
    pub(super) next_lease: u64,
    pub(super) fault: StoreFault,
    pub(super) calls: u64,
}

impl State {
    pub(super) fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.log_undo(key);
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |s| s.created);
        let stored = Stored {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), stored.clone());
        self.remember(key, Some(stored));
    }

    pub(super) fn remove(&mut self, key: &str) {
        if self.items.contains_key(key) {
            self.log_undo(key);
            self.items.remove(key);
            self.revision += 1;
            self.remember(key, None);
        }
    }

    fn log_undo(&mut self, key: &str) {
        let undo = Undo::Changed {
            key: key.to_owned(),
            before: self.items.get(key).cloned(),
            revision: self.revision,
        };
        self.undo.push(undo);
    }

    pub(super) fn roll_back(&mut self, to: Instant) {
        while let Some(undo) = self.undo.pop_after(to) {
            self.undo_one(undo);
        }
        self.history.retain(|c| c.revision <= self.revision);
        self.compacted = self.compacted.min(self.revision);
        self.rollbacks += 1;
    }

    fn undo_one(&mut self, undo: Undo) {
        match undo {
            Undo::Changed {
                key,
                before,
                revision,
            } => {
                self.revision = revision;
                match before {
                    Some(stored) => self.items.insert(key, stored),
                    None => self.items.remove(&key),
                };
            }
            Undo::Granted(lease) => {
                self.leases.remove(&lease);
                self.next_lease = lease - 1;
            }
            Undo::Ended { lease, ttl, until } => {
                self.leases.insert(lease, (ttl, until));
            }
        }
    }

    fn remember(&mut self, key: &str, stored: Option<Stored>) {
        self.history.push_back(Change {
            key: key.to_owned(),
            stored,
            revision: self.revision,
        });
        if self.history.len() > MAX_HISTORY
            && let Some(forgotten) = self.history.pop_front()
        {
            self.compacted = forgotten.revision;
        }
    }

    pub(super) fn expire_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            if let Some((ttl, until)) = self.leases.remove(&lease) {
                self.undo.push(Undo::Ended { lease, ttl, until });
            }
            let keys: Vec<String> = self
                .items
                .iter()
                .filter(|(_, s)| s.lease == lease)
                .map(|(k, _)| k.clone())
                .collect();
            for key in keys {
                self.remove(&key);
            }
        }
    }
}
