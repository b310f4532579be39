//! This node's quarantine, shared by traffic and control.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use azuresaddle_core::deployment::TargetEntry;
use azuresaddle_core::prelude::*;
use azuresaddle_sched::passes::Suspect;
use azuresaddle_sched::quarantine::{
    Crash, CrashStatus, Quarantine, RecentSuccessfulRuns, RequestStatus, SuccessfulRun,
    TargetIncarnation, parts_to_remember,
};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::quarantined_request::QuarantinedRequest;
use super::update::CrashUpdate;
use crate::metrics::Metrics;
use crate::snapshot::TargetSet;

/// This node's quarantine. Traffic checks requests against it; control shares it with the other nodes.
pub(crate) struct SharedQuarantine {
    quarantine: Mutex<Quarantine>,
    /// Successful runs of requests that `quarantine` has no record of.
    recent_successful_runs: Mutex<RecentSuccessfulRuns>,
    /// Number of requests in `quarantine`; if it is 0, checks do not take the lock.
    known_requests: AtomicUsize,
    /// Incremented for each request that is quarantined.
    changes: watch::Sender<u64>,
    /// Sends what this node has observed itself to control.
    observed: mpsc::Sender<CrashUpdate>,
    metrics: Metrics,
}

impl SharedQuarantine {
    /// Creates an empty quarantine that sends what this node observes to `observed`.
    pub(crate) fn new(observed: mpsc::Sender<CrashUpdate>, metrics: Metrics) -> Arc<Self> {
        Arc::new(Self {
            quarantine: Mutex::default(),
            recent_successful_runs: Mutex::default(),
            known_requests: AtomicUsize::new(0),
            changes: watch::Sender::new(0),
            observed,
            metrics,
        })
    }

    /// Status of a request.
    pub(crate) fn status(&self, fingerprint: Fingerprint) -> RequestStatus {
        if self.known_requests.load(Ordering::Relaxed) == 0 {
            return RequestStatus::Clear;
        }
        self.lock().status(Instant::now(), fingerprint)
    }

    /// Status of a request that holds these parts in its prompt.
    pub(crate) fn request_status(
        &self,
        fingerprint: Fingerprint,
        parts: &[Fingerprint],
    ) -> RequestStatus {
        if self.known_requests.load(Ordering::Relaxed) == 0 {
            return RequestStatus::Clear;
        }
        self.lock()
            .request_status(Instant::now(), fingerprint, parts)
    }

    /// Returns the request as a suspect if a target has crashed while it ran it; `None` if the request is clear.
    pub(crate) fn suspect(&self, fingerprint: Fingerprint) -> Option<Suspect> {
        if self.known_requests.load(Ordering::Relaxed) == 0 {
            return None;
        }
        let state = self.lock();
        let is_suspect = state.status(Instant::now(), fingerprint) != RequestStatus::Clear;
        is_suspect.then(|| Suspect {
            fingerprint,
            needs_isolation: state.is_one_crash_from_quarantine(Instant::now(), fingerprint),
        })
    }

    /// Waits until a request is quarantined. Never returns if that does not happen.
    pub(crate) async fn until_quarantined(&self, fingerprint: Fingerprint, parts: &[Fingerprint]) {
        let mut changes = self.changes.subscribe();
        while !self.request_status(fingerprint, parts).is_quarantined() {
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Records that a target crashed while it ran a request that this node sent at `sent_at`.
    pub(crate) fn on_crash(
        &self,
        fingerprint: Fingerprint,
        target: &TargetEntry,
        sent_at: Instant,
    ) {
        let incarnation = TargetIncarnation {
            target: target_hash(target),
            number: 0,
        };
        self.count_remembered_runs(Crash {
            fingerprint,
            target: incarnation,
        });
        let crash = self.update(fingerprint, |state, now| {
            state.observe_crash(now, fingerprint, target_hash(target), sent_at)
        });
        if let Some(crash) = crash {
            self.send_to_control(CrashUpdate::Crash(crash));
        }
    }

    /// Whether the quarantine has a record of a request.
    pub(crate) fn knows(&self, fingerprint: Fingerprint) -> bool {
        self.known_requests.load(Ordering::Relaxed) > 0 && self.lock().knows(fingerprint)
    }

    /// Returns a target with the start that got a send which began at `sent_at`: the later start that `targets` knows, if the
    /// earlier one had crashed before the send.
    ///
    /// A node may send to a restarted target before it learns of the restart. If a crash during that send were recorded for the
    /// earlier start, it would not match the reports of other nodes, and would count twice.
    pub(crate) fn target_at_send(
        &self,
        targets: &TargetSet,
        target: &TargetEntry,
        sent_at: Instant,
    ) -> TargetEntry {
        let known = targets.get(&target.id);
        let later = known.filter(|k| k.started > target.started);
        let got_send = later.filter(|_| self.has_crashed_before(target, sent_at));
        got_send.map_or_else(|| target.clone(), |k| TargetEntry::clone(k))
    }

    /// Whether a target is known to have crashed before a request was sent to it.
    fn has_crashed_before(&self, target: &TargetEntry, sent_at: Instant) -> bool {
        self.lock().has_crashed_before(target_hash(target), sent_at)
    }

    /// Keeps a successful run for a while, in case a crash is reported for the request.
    pub(crate) fn remember_successful_run(&self, run: SuccessfulRun, target: &TargetEntry) {
        self.lock_recent()
            .record(Instant::now(), run, target_hash(target));
    }

    /// Keeps a successful run of these parts of a request's prompt for a while, in case a crash is reported for one of them.
    pub(crate) fn remember_successful_parts(
        &self,
        request: Fingerprint,
        parts: &[Fingerprint],
        run: u64,
        target: &TargetEntry,
    ) {
        let (now, target) = (Instant::now(), target_hash(target));
        let mut recent = self.lock_recent();
        for fingerprint in parts_to_remember(request, parts) {
            recent.record(now, SuccessfulRun { fingerprint, run }, target);
        }
    }

    /// Records that a target has survived a request with these parts in its prompt, as far as that is still of use.
    pub(crate) fn on_survived_parts(
        &self,
        request: Fingerprint,
        parts: &[Fingerprint],
        run: u64,
        target: &TargetEntry,
    ) {
        let (known, unknown) = self.partition_known(parts);
        self.remember_successful_parts(request, &unknown, run, target);
        for fingerprint in known {
            if self.lock().needs_successful_run(fingerprint) {
                self.on_successful_run(SuccessfulRun { fingerprint, run });
            }
        }
    }

    /// Separates those that the quarantine has a record of from the others.
    pub(crate) fn partition_known(
        &self,
        fingerprints: &[Fingerprint],
    ) -> (Vec<Fingerprint>, Vec<Fingerprint>) {
        if self.known_requests.load(Ordering::Relaxed) == 0 {
            return (Vec::new(), fingerprints.to_vec());
        }
        let state = self.lock();
        fingerprints.iter().partition(|f| state.knows(**f))
    }

    /// The parts of a request's prompt that a crash of its target is held against.
    pub(crate) fn parts_to_blame(
        &self,
        request: Fingerprint,
        parts: &[Fingerprint],
    ) -> Vec<Fingerprint> {
        let state = self.lock();
        state.parts_to_blame(Instant::now(), request, parts, &self.lock_recent())
    }

    /// Records a successful run that this node observed, and shares it with the other nodes if it is new.
    pub(crate) fn on_successful_run(&self, run: SuccessfulRun) {
        if self.learn_successful_run(run) {
            self.send_to_control(CrashUpdate::SuccessfulRun(run));
        }
    }

    /// Counts the remembered successful runs of a request for which a crash is now known.
    fn count_remembered_runs(&self, crash: Crash) {
        let state = self.lock();
        let has_crashed = |target| target == crash.target.target || state.knows_crash_of(target);
        let mut recent = self.lock_recent();
        let remembered = recent.take(Instant::now(), crash.fingerprint, has_crashed);
        drop(recent);
        drop(state);
        for run in remembered {
            self.on_successful_run(run);
        }
    }

    /// Applies a crash that another node observed.
    pub(crate) fn learn_crash(&self, crash: Crash) -> CrashStatus {
        self.count_remembered_runs(crash);
        self.update(crash.fingerprint, |state, now| state.on_crash(now, crash))
    }

    /// Applies a successful run that this or another node observed. Returns whether it is new.
    pub(crate) fn learn_successful_run(&self, run: SuccessfulRun) -> bool {
        self.update(run.fingerprint, |state, now| {
            state.on_successful_run(now, run)
        })
    }

    /// Lifts a request's quarantine for an operator, whose command this or another node received. Returns `false` if
    /// there was no record of the request.
    pub(crate) fn lift_quarantine(&self, fingerprint: Fingerprint) -> bool {
        let was_known = self.update(fingerprint, |state, _| state.lift_quarantine(fingerprint));
        if was_known {
            tracing::warn!(part = "control", %fingerprint, "quarantine lifted by an operator");
        }
        was_known
    }

    /// Lifts a request's quarantine for an operator on all nodes. Returns `false` if there was no record of the
    /// request.
    pub(crate) fn lift_quarantine_everywhere(&self, fingerprint: Fingerprint) -> bool {
        let was_known = self.lift_quarantine(fingerprint);
        if was_known {
            self.send_to_control(CrashUpdate::QuarantineLifted(fingerprint));
        }
        was_known
    }

    /// Changes the record of a request. Logs and counts if that puts it into quarantine.
    fn update<T>(
        &self,
        fingerprint: Fingerprint,
        change: impl FnOnce(&mut Quarantine, Instant) -> T,
    ) -> T {
        let now = Instant::now();
        let mut state = self.lock();
        let before = state.status(now, fingerprint);
        let changed = change(&mut state, now);
        let after = state.status(now, fingerprint);
        self.known_requests.store(state.len(), Ordering::Relaxed);
        if before.is_quarantined() && !after.is_quarantined() {
            tracing::info!(part = "control", %fingerprint, "request no longer in quarantine");
        }
        if after.is_quarantined() && !before.is_quarantined() {
            let crashes = state.crashes_of(fingerprint).len();
            drop(state);
            self.on_quarantined(fingerprint, crashes);
        }
        changed
    }

    fn on_quarantined(&self, fingerprint: Fingerprint, crashes: usize) {
        self.metrics.quarantines.inc();
        if fingerprint.is_prompt_part() {
            tracing::warn!(part = "control", %fingerprint, crashes, "part of prompts quarantined");
        } else {
            tracing::warn!(part = "control", %fingerprint, crashes, "request quarantined");
        }
        self.changes.send_modify(|n| *n += 1);
    }

    /// Known crashes of one request.
    pub(crate) fn crashes_of(&self, fingerprint: Fingerprint) -> Vec<Crash> {
        self.lock().crashes_of(fingerprint)
    }

    /// Known successful runs of one request.
    pub(crate) fn successful_runs_of(&self, fingerprint: Fingerprint) -> Vec<SuccessfulRun> {
        self.lock().successful_runs_of(fingerprint)
    }

    /// Known crashes of all quarantined requests.
    pub(crate) fn quarantined(&self) -> Vec<Crash> {
        self.lock().quarantined(Instant::now()).collect()
    }

    /// All quarantined requests, for operators.
    pub(crate) fn list(&self) -> Vec<QuarantinedRequest> {
        let now = Instant::now();
        let state = self.lock();
        let mut requests: Vec<Fingerprint> =
            state.quarantined(now).map(|c| c.fingerprint).collect();
        requests.sort_unstable();
        requests.dedup();
        let listed = requests.into_iter().filter_map(|fingerprint| {
            let RequestStatus::Quarantined { left } = state.status(now, fingerprint) else {
                return None;
            };
            Some(QuarantinedRequest {
                fingerprint,
                targets_ended: state.crashes_of(fingerprint).len(),
                left_s: left.as_secs(),
            })
        });
        listed.collect()
    }

    /// Removes expired records.
    pub(crate) fn remove_expired(&self) {
        let mut state = self.lock();
        state.remove_expired(Instant::now());
        self.known_requests.store(state.len(), Ordering::Relaxed);
    }

    fn send_to_control(&self, update: CrashUpdate) {
        if self.observed.try_send(update).is_err() {
            tracing::warn!(
                part = "forward",
                ?update,
                "quarantine update dropped: queue full"
            );
        }
    }

    fn lock_recent(&self) -> MutexGuard<'_, RecentSuccessfulRuns> {
        self.recent_successful_runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Hash of a target's name and start; the same on all nodes.
pub(super) fn target_hash(target: &TargetEntry) -> u64 {
    let text = format!("{}/{}", target.id, target.started.0);
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}
