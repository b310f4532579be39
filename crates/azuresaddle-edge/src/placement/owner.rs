//! The pools of engines, from which the owner places streams.
//!
//! Every node keeps the pools up to date, so that it can take over at once. Correctness does not depend on there being
//! a single owner: an engine refuses a stream that it has no room for.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use azuresaddle_core::prelude::*;
use azuresaddle_platform::EngineReport;
use azuresaddle_sched::passes::{
    PassOptions, PlacementDecision, PlacementId, PlacementRequest, RunningStream, StreamOutcome,
};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::Instant;

use super::admission_log::AdmissionLog;
use super::demand_reporter::DemandReporter;
use super::owner_state::OwnerState;
use crate::metrics::Metrics;
use crate::peer::{
    PermitReply, PermitRequest, PlaceMessage, PlaceReply, ReportKind, StreamReport, SyncMessage,
};
use crate::snapshot::{Snapshot, Snapshots};

/// The pools as this node knows them. While this node is the owner, it places the streams of all nodes from them.
pub(crate) struct Owner {
    state: Mutex<OwnerState>,
    spawner: Spawner,
    /// Wakes the timer task when its next wake-up may have changed.
    changed: Notify,
    /// Engines to probe for their pace, the slowdown relative to a reference engine.
    pace_probes: mpsc::Sender<HostName>,
    /// Refusals by admission; `None` without admission.
    admission_log: Option<Mutex<AdmissionLog>>,
}

impl Owner {
    /// Creates the pools and starts the tasks that apply snapshots and run the pools' timers.
    ///
    /// Engines to probe for their pace are sent to `pace_probes`; pass their reports to [`Self::on_pace`].
    pub(crate) fn spawn(
        spawner: &Spawner,
        snapshots: &Snapshots,
        node: u64,
        options: PassOptions,
        pace_probes: mpsc::Sender<HostName>,
        metrics: &Metrics,
    ) -> Arc<Self> {
        let log = || Mutex::new(AdmissionLog::new(metrics.clone()));
        let admission_log = options.admission.then(log);
        let state = OwnerState {
            options,
            demand: DemandReporter::new(metrics.clone()),
            ..OwnerState::default()
        };
        let owner = Arc::new(Self {
            state: Mutex::new(state),
            spawner: spawner.clone(),
            changed: Notify::new(),
            pace_probes,
            admission_log,
        });
        let following = Arc::clone(&owner).follow_snapshots(snapshots.clone(), node);
        spawner.spawn_essential("pool updates", following);
        spawner.spawn_essential("pool timer", Arc::clone(&owner).run_timer());
        owner
    }

    /// Applies each new snapshot to the pools.
    async fn follow_snapshots(self: Arc<Self>, snapshots: Snapshots, node: u64) {
        let mut changes = snapshots.subscribe();
        loop {
            let snapshot = snapshots.load();
            self.apply_snapshot(&snapshot, node);
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn apply_snapshot(&self, snapshot: &Snapshot, node: u64) {
        let Some(configuration) = &snapshot.configuration else {
            return;
        };
        let now = Instant::now();
        let mut state = self.lock();
        state.update_ownership(now, snapshot, node);
        state.update_targets(now, configuration, &snapshot.targets);
        state.update_rate_limits(now, &snapshot.rate_limits);
        state.update_nodes(&snapshot.nodes);
        self.dispatch(&mut state, now);
        drop(state);
        self.changed.notify_one();
    }

    /// Dispatches whenever a timer of the pools expires.
    async fn run_timer(self: Arc<Self>) {
        loop {
            let next = self.lock().next_wakeup(Instant::now());
            tokio::select! {
                () = sleep_until(next) => self.dispatch(&mut self.lock(), Instant::now()),
                () = self.changed.notified() => {}
            }
        }
    }

    /// Places a stream. The request is withdrawn if the future is dropped.
    pub(crate) async fn place(&self, message: PlaceMessage, priority: u8) -> PlaceReply {
        let id = message.id;
        let Some(rx) = self.enqueue(message, priority) else {
            return PlaceReply::NoDecision;
        };
        let mut guard = WithdrawOnDrop {
            owner: self,
            id: Some(id),
            rx,
        };
        let decision = (&mut guard.rx).await;
        if decision.is_ok() {
            guard.id = None;
        }
        match decision {
            Ok(PlacementDecision::Granted(grant)) => PlaceReply::Granted {
                lead: grant.lead,
                helpers: grant.helpers,
                helper_memory_tokens: grant.helper_memory_tokens,
                first_event_in: grant.first_event_in,
            },
            Ok(PlacementDecision::Refused { retry_after }) => PlaceReply::Refused { retry_after },
            Err(_) => PlaceReply::NoDecision,
        }
    }

    fn enqueue(
        &self,
        message: PlaceMessage,
        priority: u8,
    ) -> Option<oneshot::Receiver<PlacementDecision>> {
        let now = Instant::now();
        let mut state = self.lock();
        let pool = state.pools.get_mut(message.service.as_str())?;
        pool.enqueue(
            now,
            PlacementRequest {
                id: message.id,
                account: message.account,
                domain: message.domain,
                prompt_tokens: message.prompt_tokens,
                answer_tokens: message.answer_tokens,
                first_event_by: now + message.first_event_in,
                pause: message.pause,
                give_up_at: now + message.give_up_in,
                deadline: now + message.time_left,
                exclude: message.exclude,
                suspect: message.suspect,
                priority,
            },
        );
        let (tx, rx) = oneshot::channel();
        state.waiters.insert(message.id, tx);
        self.dispatch(&mut state, now);
        self.queue_pace_probes(&mut state, now);
        let waits = state.waiters.contains_key(&message.id);
        drop(state);
        if waits {
            self.changed.notify_one();
        }
        Some(rx)
    }

    /// Counts a request of any node against the rate limit of a plain target.
    pub(crate) fn permit(&self, req: &PermitRequest) -> PermitReply {
        let mut state = self.lock();
        if !state.is_owner {
            return PermitReply::NotOwner;
        }
        match state.take_permit(Instant::now(), &req.target, req.limit) {
            Ok(()) => PermitReply::Granted,
            Err(wait) => PermitReply::Denied { wait },
        }
    }

    /// Applies reports about streams.
    pub(crate) fn report(&self, reports: Vec<StreamReport>) {
        let now = Instant::now();
        let mut state = self.lock();
        for report in reports {
            let Some(pool) = state.pools.get_mut(report.service.as_str()) else {
                continue;
            };
            match report.kind {
                ReportKind::FirstEvent => pool.on_first_event(now, report.id),
                ReportKind::Ended(outcome) => {
                    if let StreamOutcome::TargetFailed(target) = &outcome {
                        let node = report.id.node;
                        tracing::info!(part = "placement", %target, node, "engine reported as failed");
                    }
                    pool.end(now, report.id, &outcome);
                }
            }
        }
        self.dispatch(&mut state, now);
        self.queue_pace_probes(&mut state, now);
        drop(state);
        self.changed.notify_one();
    }

    /// Dispatches the pools, and records what they refused.
    fn dispatch(&self, state: &mut OwnerState, now: Instant) {
        state.dispatch(now);
        let Some(log) = &self.admission_log else {
            return;
        };
        let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
        for (service, pool) in &mut state.pools {
            log.on_refusals(now, service, pool.take_refusals());
        }
        log.end_overloads(now);
    }

    fn queue_pace_probes(&self, state: &mut OwnerState, now: Instant) {
        for engine in state.take_pace_probes(now) {
            // If the queue is full, the pool requests a probe of this engine again at the next overdue event.
            let _ = self.pace_probes.try_send(engine);
        }
    }

    /// Applies the pace and the start that an engine reports. While the store is unavailable, this is where a restart is
    /// noticed first.
    pub(crate) fn on_pace(&self, engine: &HostName, report: &EngineReport) {
        let now = Instant::now();
        let pace = report.pace;
        let started = report.started.0;
        let streams = report.streams;
        tracing::info!(part = "placement", target = %engine, pace, streams, started, "engine reported its pace");
        let mut state = self.lock();
        for pool in state.pools.values_mut() {
            if pool.record_start(now, engine, report.started) {
                pool.on_pace(now, engine, pace);
            }
        }
        self.dispatch(&mut state, now);
        drop(state);
        self.changed.notify_one();
    }

    /// Replaces what the pools know of a node's streams by a complete list.
    pub(crate) fn sync(&self, sync: &SyncMessage) {
        let now = Instant::now();
        let mut state = self.lock();
        for (name, pool) in &mut state.pools {
            let running: Vec<RunningStream> = sync
                .running
                .iter()
                .filter(|(service, _)| **service == **name)
                .map(|(_, stream)| stream.clone())
                .collect();
            let is_known = |id: PlacementId| id.number > sync.up_to || sync.waiting.contains(&id);
            pool.sync_node(now, sync.node, &running, is_known);
        }
        state.mark_synced(sync.node);
        self.dispatch(&mut state, now);
        drop(state);
        self.changed.notify_one();
    }

    /// Withdraws a request, unless its node has sent it again and another call waits for the decision.
    fn withdraw(&self, id: PlacementId) {
        let now = Instant::now();
        let mut state = self.lock();
        let waiter = state.waiters.get(&id);
        if waiter.is_some_and(|tx| !tx.is_closed()) {
            return;
        }
        state.waiters.remove(&id);
        for pool in state.pools.values_mut() {
            pool.end(now, id, &StreamOutcome::Cancelled);
        }
        self.dispatch(&mut state, now);
        drop(state);
        self.changed.notify_one();
    }

    /// Locks the pools. A panic of an earlier call may have left them half changed, so it is a failure of the node.
    pub(super) fn lock(&self) -> MutexGuard<'_, OwnerState> {
        self.state.lock().unwrap_or_else(|poisoned| {
            self.spawner.report_failure(TaskFailure {
                task: "pools",
                end: TaskEnd::Panicked,
            });
            poisoned.into_inner()
        })
    }
}

/// Withdraws a request whose future is dropped before a decision.
struct WithdrawOnDrop<'a> {
    owner: &'a Owner,
    id: Option<PlacementId>,
    /// Receives the decision.
    rx: oneshot::Receiver<PlacementDecision>,
}

impl Drop for WithdrawOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.rx.close();
            self.owner.withdraw(id);
        }
    }
}

async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
