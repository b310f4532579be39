//! State of the stand-in for the platform's store.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use super::store_log::{Undo, UndoLog};

/// Changes that are remembered.
const HISTORY: usize = 2000;

/// Era of a store that has never gone back.
const FIRST_ERA: u64 = 1;

/// How the store misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// It does not.
    #[default]
    None,
    /// Answers 503; nothing is done.
    Unavailable,
    /// Answers nothing.
    Silent,
    /// Answers late.
    Slow(Duration),
    /// Does writes without answering.
    AnswersLost,
}

/// A stored value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Stored {
    pub(super) value: Vec<u8>,
    pub(super) revision: u64,
    pub(super) created: u64,
    pub(super) lease: u64,
}

/// A change of one key; without a value it was removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Change {
    pub(super) key: String,
    pub(super) stored: Option<Stored>,
    pub(super) revision: u64,
}

#[derive(Default)]
struct State {
    /// Times that it has gone back to an older copy.
    rewinds: u64,
    undo: UndoLog,
    items: BTreeMap<String, Stored>,
    history: VecDeque<Change>,
    /// Changes up to this revision are forgotten.
    compacted: u64,
    revision: u64,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
    fault: StoreFault,
    calls: u64,
}

/// A condition of a transaction failed; the present state of its keys.
pub(super) struct Conflict(pub(super) Vec<(String, Option<Stored>)>);

/// The store; cheap to clone.
#[derive(Clone)]
pub struct PlatformStoreModel {
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<u64>>,
}

impl Default for PlatformStoreModel {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            changed: Arc::new(watch::Sender::new(0)),
        }
    }
}

impl PlatformStoreModel {
    /// Makes the store misbehave, or stop to.
    pub fn set_fault(&self, fault: StoreFault) {
        self.lock().fault = fault;
    }

    /// How it misbehaves now.
    pub fn fault(&self) -> StoreFault {
        self.lock().fault
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    pub(super) fn on_call(&self) {
        self.lock().calls += 1;
    }

    /// Writes a key without a condition, as the operator and the targets do.
    pub fn put(&self, key: &str, value: impl Into<Vec<u8>>) -> u64 {
        let mut state = self.lock();
        state.put(key, value.into(), 0);
        let revision = state.revision;
        drop(state);
        self.changed.send_replace(revision);
        revision
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        state.remove(key);
        let revision = state.revision;
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Forgets the history, so that watches have to read anew.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.history.clear();
        state.compacted = state.revision;
    }

    /// Goes back to the copy of a time ago: what was written since is gone, and its revisions and leases are
    /// given out again.
    pub fn go_back(&self, by: Duration) {
        let mut state = self.lock();
        state.end_leases();
        state.go_back(Instant::now() - by);
        let revision = state.revision;
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Number that rises by one each time the store goes back.
    pub fn era(&self) -> u64 {
        FIRST_ERA + self.lock().rewinds
    }

    /// Keys that begin with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let mut state = self.lock();
        state.end_leases();
        let keys = state.items.keys();
        keys.filter(|k| k.starts_with(prefix)).cloned().collect()
    }

    pub(super) fn get(&self, key: &str) -> (Option<Stored>, u64) {
        let mut state = self.lock();
        state.end_leases();
        (state.items.get(key).cloned(), state.revision)
    }

    pub(super) fn range(
        &self,
        prefix: &str,
        after: &str,
        most: usize,
    ) -> (Vec<(String, Stored)>, bool, u64) {
        let mut state = self.lock();
        state.end_leases();
        let matching = state.items.iter().filter(|(k, _)| k.starts_with(prefix));
        let mut page: Vec<(String, Stored)> = matching
            .filter(|(k, _)| k.as_str() > after)
            .take(most + 1)
            .map(|(k, v)| (k.clone(), v.clone()))
            .collect();
        let has_more = page.len() > most;
        page.truncate(most);
        (page, has_more, state.revision)
    }

    /// Changes after a revision; `None` where they are forgotten, or the revision has not been given out.
    pub(super) fn changes(&self, prefix: &str, after: u64) -> Option<(Vec<Change>, u64)> {
        let mut state = self.lock();
        state.end_leases();
        if after < state.compacted || after > state.revision {
            return None;
        }
        let changes = state.history.iter().filter(|c| c.revision > after);
        let changes = changes.filter(|c| c.key.starts_with(prefix)).cloned();
        Some((changes.collect(), state.revision))
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    pub(super) fn transact(
        &self,
        expected: &[(String, u64)],
        writes: Vec<(String, Vec<u8>, u64)>,
        removes: &[String],
    ) -> Result<u64, Conflict> {
        let mut state = self.lock();
        state.end_leases();
        let holds = expected
            .iter()
            .all(|(key, revision)| state.items.get(key).map_or(0, |s| s.revision) == *revision);
        if !holds {
            let present = expected
                .iter()
                .map(|(key, _)| (key.clone(), state.items.get(key).cloned()));
            return Err(Conflict(present.collect()));
        }
        for (key, value, lease) in writes {
            state.put(&key, value, lease);
        }
        for key in removes {
            state.remove(key);
        }
        let revision = state.revision;
        drop(state);
        self.changed.send_replace(revision);
        Ok(revision)
    }

    pub(super) fn grant_lease(&self, ttl: Duration) -> u64 {
        let mut state = self.lock();
        let lease = state.next_lease + 1;
        state.undo.push(Undo::Granted(lease));
        state.next_lease = lease;
        state.leases.insert(lease, (ttl, Instant::now() + ttl));
        lease
    }

    /// Renews a lease; its time to live, or `None` where it has ended.
    pub(super) fn keep_lease(&self, lease: u64) -> Option<Duration> {
        let mut state = self.lock();
        state.end_leases();
        let (ttl, until) = state.leases.get_mut(&lease)?;
        *until = Instant::now() + *ttl;
        Some(*ttl)
    }

    pub(super) fn end_lease(&self, lease: u64) {
        let mut state = self.lock();
        if let Some((_, until)) = state.leases.get_mut(&lease) {
            *until = Instant::now();
        }
        state.end_leases();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
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

    fn remove(&mut self, key: &str) {
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

    fn go_back(&mut self, to: Instant) {
        while let Some(undo) = self.undo.pop_after(to) {
            self.undo_one(undo);
        }
        self.history.retain(|c| c.revision <= self.revision);
        self.compacted = self.compacted.min(self.revision);
        self.rewinds += 1;
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
        if self.history.len() > HISTORY
            && let Some(forgotten) = self.history.pop_front()
        {
            self.compacted = forgotten.revision;
        }
    }

    fn end_leases(&mut self) {
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
