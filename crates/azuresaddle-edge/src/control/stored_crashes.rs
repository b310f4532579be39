//! Tracks which crashes the store contains, to detect those that it has lost.

use std::collections::HashSet;

use azuresaddle_core::prelude::*;
use azuresaddle_platform::CrashKey;
use azuresaddle_sched::quarantine::Crash;
use tokio::time::Instant;

/// Crashes that the store contains, as far as this node watches it.
#[derive(Debug, Default)]
pub(super) struct StoredCrashes {
    keys: HashSet<CrashKey>,
    /// When to check for lost crashes.
    check_at: Option<Instant>,
}

impl StoredCrashes {
    /// Replaces the set with the content of a complete listing.
    pub(super) fn replace(&mut self, keys: impl Iterator<Item = CrashKey>) {
        self.keys = keys.collect();
    }

    /// Records that the store contains a crash.
    pub(super) fn insert(&mut self, key: CrashKey) {
        self.keys.insert(key);
    }

    /// Records that the store no longer contains a crash.
    pub(super) fn remove(&mut self, key: CrashKey) {
        self.keys.remove(&key);
    }

    /// Stored crashes of a request.
    pub(super) fn of_request(&self, request: Fingerprint) -> Vec<CrashKey> {
        let all = self.keys.iter().copied();
        all.filter(|key| key.fingerprint == request).collect()
    }

    /// Schedules a check for lost crashes, unless an earlier one is scheduled.
    pub(super) fn schedule_check(&mut self, at: Instant) {
        self.check_at = Some(self.check_at.map_or(at, |known| known.min(at)));
    }

    /// Returns whether a check is due, and clears it.
    pub(super) fn take_due_check(&mut self, now: Instant) -> bool {
        self.check_at.take_if(|at| now >= *at).is_some()
    }

    /// Returns those of the crashes that the store does not contain.
    pub(super) fn missing(&self, crashes: Vec<Crash>) -> Vec<Crash> {
        let is_missing = |c: &Crash| !self.keys.contains(&key_of(c));
        crashes.into_iter().filter(is_missing).collect()
    }
}

/// The key under which the store keeps a crash.
pub(super) fn key_of(crash: &Crash) -> CrashKey {
    CrashKey {
        fingerprint: crash.fingerprint,
        target: crash.target.target,
        incarnation: crash.target.number,
    }
}
