//! Which crashes the store keeps, and what it has lost of them.

use std::collections::HashSet;

use azuresaddle_core::prelude::*;
use azuresaddle_platform::CrashKey;
use azuresaddle_sched::quarantine::Crash;
use tokio::time::Instant;

/// Crashes that the store keeps, as far as this node follows it.
#[derive(Debug, Default)]
pub(super) struct StoredCrashes {
    keys: HashSet<CrashKey>,
    /// When to look for what it has lost.
    check_at: Option<Instant>,
}

impl StoredCrashes {
    /// Takes all that the store keeps.
    pub(super) fn replace(&mut self, keys: impl Iterator<Item = CrashKey>) {
        self.keys = keys.collect();
    }

    /// Notes that the store keeps a crash.
    pub(super) fn insert(&mut self, key: CrashKey) {
        self.keys.insert(key);
    }

    /// Notes that the store no longer keeps a crash.
    pub(super) fn remove(&mut self, key: CrashKey) {
        self.keys.remove(&key);
    }

    /// Crashes of a request that the store keeps.
    pub(super) fn of_request(&self, request: Fingerprint) -> Vec<CrashKey> {
        let all = self.keys.iter().copied();
        all.filter(|key| key.request == request).collect()
    }

    /// Looks at a time for what is lost, if not earlier.
    pub(super) fn schedule_check(&mut self, at: Instant) {
        self.check_at = Some(self.check_at.map_or(at, |known| known.min(at)));
    }

    /// Whether it is time to look; only once.
    pub(super) fn take_due_check(&mut self, now: Instant) -> bool {
        self.check_at.take_if(|at| now >= *at).is_some()
    }

    /// Those of some crashes that the store does not keep.
    pub(super) fn missing(&self, crashes: Vec<Crash>) -> Vec<Crash> {
        let is_missing = |c: &Crash| !self.keys.contains(&key_of(c));
        crashes.into_iter().filter(is_missing).collect()
    }
}

/// The key under which the store keeps a crash.
pub(super) fn key_of(crash: &Crash) -> CrashKey {
    CrashKey {
        request: crash.fingerprint,
        target: crash.target.target,
        life: crash.target.number,
    }
}
