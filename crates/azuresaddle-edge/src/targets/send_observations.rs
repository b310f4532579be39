//! Outcomes of this node's sends to plain targets, on their way from traffic to control.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use azuresaddle_core::deployment::{TargetEntry, TargetStart};
use azuresaddle_core::prelude::*;
use azuresaddle_sched::target_health::{SendCounts, SendOutcome};
use tokio::sync::Notify;

/// Sends to one start of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TargetSends {
    pub(crate) target: HostName,
    pub(crate) started: TargetStart,
    pub(crate) counts: SendCounts,
}

/// Collects outcomes until control takes them. If control falls behind, counts of the same target are merged, so the
/// memory is bounded by the number of targets, and traffic never waits.
#[derive(Debug)]
pub(crate) struct SendObservations {
    is_enabled: bool,
    waiting: Mutex<HashMap<HostName, TargetSends>>,
    woken: Notify,
}

impl SendObservations {
    /// Creates an empty collection; one that is not enabled stays empty.
    pub(crate) fn new(is_enabled: bool) -> Self {
        Self {
            is_enabled,
            waiting: Mutex::default(),
            woken: Notify::new(),
        }
    }

    /// Whether nodes share what they observe.
    pub(crate) fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Records the outcome of a send.
    pub(crate) fn record(&self, target: &TargetEntry, outcome: SendOutcome) {
        if !self.is_enabled {
            return;
        }
        let mut waiting = self.lock();
        let sends = waiting
            .entry(target.id.clone())
            .or_insert_with(|| TargetSends::new(target));
        if sends.started != target.started {
            // Sends to an earlier start don't count any more.
            if sends.started > target.started {
                return;
            }
            *sends = TargetSends::new(target);
        }
        let had_failed = sends.counts.failures() > 0;
        sends.counts.record(outcome);
        if sends.counts.failures() > 0 && !had_failed {
            self.wake();
        }
    }

    /// Wakes control, for an outcome that other nodes wait for.
    pub(crate) fn wake(&self) {
        self.woken.notify_one();
    }

    /// Waits until [`Self::wake`] is called or a target has its first failure among the outcomes that control has not taken.
    pub(crate) async fn woken(&self) {
        self.woken.notified().await;
    }

    /// Removes and returns all outcomes.
    pub(crate) fn take(&self) -> Vec<TargetSends> {
        self.lock().drain().map(|(_, sends)| sends).collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<HostName, TargetSends>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TargetSends {
    fn new(target: &TargetEntry) -> Self {
        Self {
            target: target.id.clone(),
            started: target.started,
            counts: SendCounts::default(),
        }
    }
}
