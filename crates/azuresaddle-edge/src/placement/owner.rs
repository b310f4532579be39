//! The pools of engines at the node that places streams.
//!
//! Every node keeps the pools ready, so that it can take over at once. Nothing rests on there being
//! one owner: engines refuse what they have no room for, and say so.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use azuresaddle_core::prelude::*;
use azuresaddle_platform::EngineReport;
use azuresaddle_sched::passes::{
    PassOptions, PlacementDecision, PlacementId, PlacementRequest, RunningStream, StreamOutcome,
};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::Instant;

use super::owner_state::State;
use crate::peer::{AskMessage, AskReply, PermitAsk, PermitReply, Report, ReportKind, SyncMessage};
use crate::snapshot::{Snapshot, Snapshots};

/// The pools of this node.
pub(crate) struct Owner {
    state: Mutex<State>,
    changed: Notify,
    /// Engines that should be asked for their pace.
    pace_questions: mpsc::Sender<HostName>,
}

impl Owner {
    /// Starts to follow snapshots and the pools' own timers.
    ///
    /// Engines that should be asked for their pace come out of `pace_questions`; the answers go
    /// into [`Self::on_pace`].
    pub(crate) fn spawn(
        spawner: &Spawner,
        snapshots: &Snapshots,
        node: u64,
        options: PassOptions,
        pace_questions: mpsc::Sender<HostName>,
    ) -> Arc<Self> {
        let state = State {
            options,
            ..State::default()
        };
        let owner = Arc::new(Self {
            state: Mutex::new(state),
            changed: Notify::new(),
            pace_questions,
        });
        spawner.spawn(Arc::clone(&owner).follow(snapshots.clone(), node));
        spawner.spawn(Arc::clone(&owner).keep_time());
        owner
    }

    /// Keeps the pools' engines as the snapshots have them.
    async fn follow(self: Arc<Self>, snapshots: Snapshots, node: u64) {
        let mut changes = snapshots.subscribe();
        loop {
            let snapshot = snapshots.load();
            self.refresh(&snapshot, node);
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn refresh(&self, snapshot: &Snapshot, node: u64) {
        let Some(configuration) = &snapshot.configuration else {
            return;
        };
        let now = Instant::now();
        let mut state = self.lock();
        state.note_owner(now, snapshot, node);
        state.follow_targets(now, configuration, &snapshot.targets);
        state.follow_rate_limits(now, &snapshot.rate_limits);
        state.follow_nodes(&snapshot.nodes);
        state.dispatch(now);
        drop(state);
        self.changed.notify_one();
    }

    /// Dispatches when a pool's own time has come.
    async fn keep_time(self: Arc<Self>) {
        loop {
            let next = self.lock().next_wakeup(Instant::now());
            tokio::select! {
                () = sleep_until(next) => self.lock().dispatch(Instant::now()),
                () = self.changed.notified() => {}
            }
        }
    }

    /// Places a stream; withdrawn when the caller drops the future.
    pub(crate) async fn ask(&self, ask: AskMessage) -> AskReply {
        let id = ask.id;
        let Some(rx) = self.enqueue(ask) else {
            return AskReply::Unknown;
        };
        let mut undecided = Undecided {
            owner: self,
            id: Some(id),
        };
        let decision = rx.await;
        if decision.is_ok() {
            undecided.id = None;
        }
        match decision {
            Ok(PlacementDecision::Granted(grant)) => AskReply::Granted {
                lead: grant.lead,
                helpers: grant.helpers,
                helper_memory_tokens: grant.helper_memory_tokens,
                first_event_in: grant.first_event_in,
            },
            Ok(PlacementDecision::Refused { retry_after }) => AskReply::Refused { retry_after },
            Err(_) => AskReply::Unknown,
        }
    }

    fn enqueue(&self, ask: AskMessage) -> Option<oneshot::Receiver<PlacementDecision>> {
        let now = Instant::now();
        let mut state = self.lock();
        let pool = state.pools.get_mut(ask.service.as_str())?;
        pool.enqueue(
            now,
            PlacementRequest {
                id: ask.id,
                account: ask.account,
                domain: ask.domain,
                prompt_tokens: ask.prompt_tokens,
                answer_tokens: ask.answer_tokens,
                first_event_by: now + ask.first_event_in,
                pause: ask.pause,
                give_up_at: now + ask.give_up_in,
                deadline: now + ask.time_left,
                exclude: ask.exclude,
                suspect: ask.suspect,
            },
        );
        let (tx, rx) = oneshot::channel();
        state.waiters.insert(ask.id, tx);
        state.dispatch(now);
        self.ask_paces(&mut state, now);
        let waits = state.waiters.contains_key(&ask.id);
        drop(state);
        if waits {
            self.changed.notify_one();
        }
        Some(rx)
    }

    /// Takes a token for a request of any node to a plain target that limits its rate.
    pub(crate) fn permit(&self, ask: &PermitAsk) -> PermitReply {
        let mut state = self.lock();
        if !state.is_owner {
            return PermitReply::NotOwner;
        }
        match state.take_permit(Instant::now(), &ask.target, ask.limit) {
            Ok(()) => PermitReply::Granted,
            Err(wait) => PermitReply::Denied { wait },
        }
    }

    /// Takes news of streams.
    pub(crate) fn report(&self, reports: Vec<Report>) {
        let now = Instant::now();
        let mut state = self.lock();
        for report in reports {
            let Some(pool) = state.pools.get_mut(report.service.as_str()) else {
                continue;
            };
            match report.kind {
                ReportKind::FirstEvent => pool.on_first_event(now, report.id),
                ReportKind::Ended(outcome) => pool.end(now, report.id, &outcome),
            }
        }
        state.dispatch(now);
        self.ask_paces(&mut state, now);
        drop(state);
        self.changed.notify_one();
    }

    fn ask_paces(&self, state: &mut State, now: Instant) {
        for engine in state.take_pace_questions(now) {
            // A question that finds no room comes again with the next overdue event.
            let _ = self.pace_questions.try_send(engine);
        }
    }

    /// Takes an engine's own word of its pace, and of its start: while the store is away a restart is
    /// learned of here first.
    pub(crate) fn on_pace(&self, engine: &HostName, report: &EngineReport) {
        let now = Instant::now();
        let pace = report.pace;
        let started = report.started.0;
        let streams = report.streams;
        tracing::info!(part = "placement", target = %engine, pace, streams, started, "pace told");
        let mut state = self.lock();
        for pool in state.pools.values_mut() {
            if pool.note_start(now, engine, report.started) {
                pool.on_pace(now, engine, pace);
            }
        }
        state.dispatch(now);
        drop(state);
        self.changed.notify_one();
    }

    /// Takes all streams of a node.
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
        state.note_told(sync.node);
        state.dispatch(now);
        drop(state);
        self.changed.notify_one();
    }

    fn withdraw(&self, id: PlacementId) {
        let now = Instant::now();
        let mut state = self.lock();
        state.waiters.remove(&id);
        for pool in state.pools.values_mut() {
            pool.end(now, id, &StreamOutcome::Cancelled);
        }
        state.dispatch(now);
        drop(state);
        self.changed.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Withdraws an ask whose future is dropped before a decision.
struct Undecided<'a> {
    owner: &'a Owner,
    id: Option<PlacementId>,
}

impl Drop for Undecided<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
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
