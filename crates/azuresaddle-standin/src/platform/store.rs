//! The stand-in for the platform's store, as its HTTP server and the tests use it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use super::store_state::{Change, State, Stored};
use super::undo_log::Undo;

/// Era of a store that has never been rolled back.
const FIRST_ERA: u64 = 1;

/// A fault of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Answers every call with status 503 and executes none.
    Unavailable,
    /// Neither executes nor answers calls.
    Silent,
    /// Delays each call by this time.
    Slow(Duration),
    /// Executes writes but does not answer them.
    AnswersLost,
}

/// A condition of a transaction failed; contains the current state of the expected keys.
pub(super) struct Conflict(pub(super) Vec<(String, Option<Stored>)>);

/// The stand-in store; cheap to clone.
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
    /// Sets the fault of the store, or clears it with [`StoreFault::None`].
    pub fn set_fault(&self, fault: StoreFault) {
        self.lock().fault = fault;
    }

    /// Returns the current fault.
    pub fn fault(&self) -> StoreFault {
        self.lock().fault
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    pub(super) fn count_call(&self) {
        self.lock().calls += 1;
    }

    /// Writes a key unconditionally, as the operator and the targets do, and returns the new revision.
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

    /// Compacts the whole change history, so that watches have to list their keys again.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.history.clear();
        state.compacted = state.revision;
    }

    /// Rolls the store back to its state of `by` ago: later writes are lost, and their revisions and leases are
    /// assigned again.
    pub fn roll_back(&self, by: Duration) {
        let mut state = self.lock();
        state.expire_leases();
        state.roll_back(Instant::now() - by);
        let revision = state.revision;
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Returns the era of the store, which rises by one with each rollback.
    pub fn era(&self) -> u64 {
        FIRST_ERA + self.lock().rollbacks
    }

    /// Returns the keys that begin with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let mut state = self.lock();
        state.expire_leases();
        let keys = state.items.keys();
        keys.filter(|k| k.starts_with(prefix)).cloned().collect()
    }

    pub(super) fn get(&self, key: &str) -> (Option<Stored>, u64) {
        let mut state = self.lock();
        state.expire_leases();
        (state.items.get(key).cloned(), state.revision)
    }

    pub(super) fn range(
        &self,
        prefix: &str,
        after: &str,
        page_items: usize,
    ) -> (Vec<(String, Stored)>, bool, u64) {
        let mut state = self.lock();
        state.expire_leases();
        let matching = state.items.iter().filter(|(k, _)| k.starts_with(prefix));
        let mut page: Vec<(String, Stored)> = matching
            .filter(|(k, _)| k.as_str() > after)
            .take(page_items + 1)
            .map(|(k, v)| (k.clone(), v.clone()))
            .collect();
        let has_more = page.len() > page_items;
        page.truncate(page_items);
        (page, has_more, state.revision)
    }

    /// Returns the changes after a revision and the current revision; `None` if the changes are compacted or
    /// the revision has not been assigned yet.
    pub(super) fn changes(&self, prefix: &str, after: u64) -> Option<(Vec<Change>, u64)> {
        let mut state = self.lock();
        state.expire_leases();
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
        state.expire_leases();
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

    /// Renews a lease and returns its time to live, or `None` if it has expired.
    pub(super) fn renew_lease(&self, lease: u64) -> Option<Duration> {
        let mut state = self.lock();
        state.expire_leases();
        let (ttl, until) = state.leases.get_mut(&lease)?;
        *until = Instant::now() + *ttl;
        Some(*ttl)
    }

    pub(super) fn end_lease(&self, lease: u64) {
        let mut state = self.lock();
        if let Some((_, until)) = state.leases.get_mut(&lease) {
            *until = Instant::now();
        }
        state.expire_leases();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
