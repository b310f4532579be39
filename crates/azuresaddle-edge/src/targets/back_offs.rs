//! Targets that have asked this node to back off.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azuresaddle_core::prelude::*;
use tokio::time::Instant;

/// When this node's back-offs from targets end. They are not shared with other nodes, since a target may reject a
/// single failure domain.
#[derive(Default)]
pub(crate) struct BackOffs {
    until: Mutex<HashMap<HostName, Instant>>,
}

impl BackOffs {
    /// Starts a back-off of at least `time` from now. Does not shorten a longer one.
    pub(crate) fn start(&self, target: &HostName, time: Duration) {
        let until = Instant::now() + time;
        let mut all = self.lock();
        let known = all.entry(target.clone()).or_insert(until);
        *known = until.max(*known);
    }

    /// When a target's back-off ends; `None` if there is none.
    pub(crate) fn until(&self, target: &HostName) -> Option<Instant> {
        let now = Instant::now();
        let until = self.lock().get(target).copied();
        until.filter(|until| now < *until)
    }

    /// Targets in back-off.
    pub(crate) fn active(&self) -> Vec<HostName> {
        let now = Instant::now();
        let mut all = self.lock();
        all.retain(|_, until| now < *until);
        all.keys().cloned().collect()
    }

    /// Removes the targets for which `keep` returns `false`.
    pub(crate) fn retain(&self, keep: impl Fn(&HostName) -> bool) {
        self.lock().retain(|target, _| keep(target));
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<HostName, Instant>> {
        self.until.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
