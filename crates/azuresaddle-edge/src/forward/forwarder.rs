//! The shared state for forwarding requests.

use std::sync::Arc;

use azuresaddle_core::burn::{BurnRecorder, Sample};
use azuresaddle_core::byte_budget::{AccountBudget, ByteBudget};
use azuresaddle_core::deployment::{Bounds, EngineSpec, NodeSettings, TargetEntry};
use azuresaddle_core::prelude::*;
use azuresaddle_sched::target_health::{SendOutcome, TargetVerdict, TargetVerdicts};
use hyper::{Response, StatusCode};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::body::ProxyBody;
use super::broken_sends::BrokenSends;
use super::crash_check::record_late_crashes;
use super::disconnect_log::DisconnectLog;
use super::head::ForwardRequest;
use super::pace_probes::run_pace_probes;
use super::plain::forward_plain;
use super::retry_budget::RetryBudget;
use super::stopping::answer_on_stop;
use super::stream::forward_stream;
use crate::metrics::Metrics;
use crate::placement::{Owner, PlacementClient};
use crate::quarantine::SharedQuarantine;
use crate::shutdown::Shutdown;
use crate::signals::ObservedSignals;
use crate::snapshot::Snapshots;
use crate::targets::{
    ConnectError, Connection, ConnectionPool, SendObservations, SharedPaths, TargetDialer,
    TargetHealth,
};

/// Dependencies of [`Forwarder`].
pub(crate) struct ForwarderParts<N: Network> {
    pub(crate) spawner: Spawner,
    pub(crate) snapshots: Snapshots,
    pub(crate) placement: Arc<PlacementClient<N>>,
    pub(crate) quarantine: Arc<SharedQuarantine>,
    pub(crate) signals: mpsc::Sender<ObservedSignals>,
    pub(crate) observations: Arc<SendObservations>,
    pub(crate) metrics: Metrics,
    pub(crate) dialer: TargetDialer<N>,
    pub(crate) shutdown: Arc<Shutdown>,
}

/// Forwards requests of callers to targets.
pub(crate) struct Forwarder<N: Network> {
    pub(super) domain: FailureDomain,
    pub(super) spawner: Spawner,
    pub(super) snapshots: Snapshots,
    pub(super) placement: Arc<PlacementClient<N>>,
    pub(super) connections: ConnectionPool<N>,
    /// Paths to targets, which may be at fault for failed sends.
    pub(super) paths: SharedPaths,
    pub(super) health: Arc<TargetHealth>,
    pub(super) retry_budget: RetryBudget,
    pub(super) quarantine: Arc<SharedQuarantine>,
    /// Sends the signals in targets' answers to control.
    pub(super) signals: mpsc::Sender<ObservedSignals>,
    /// Passes the outcomes of sends to plain targets on to control.
    pub(super) observations: Arc<SendObservations>,
    pub(super) broken_sends: BrokenSends,
    pub(super) bounds: Bounds,
    pub(super) metrics: Metrics,
    pub(super) shutdown: Arc<Shutdown>,
    pub(super) burn: Arc<BurnRecorder>,
    budget: ByteBudget,
}

impl<N: Network> Forwarder<N> {
    /// Creates a forwarder and starts the task that follows changes of the targets.
    pub(crate) fn spawn(settings: &NodeSettings, parts: ForwarderParts<N>) -> Arc<Self> {
        let ForwarderParts {
            spawner,
            snapshots,
            placement,
            quarantine,
            signals,
            observations,
            metrics,
            dialer,
            shutdown,
        } = parts;
        let bounds = settings.bounds;
        let forwarder = Arc::new(Self {
            domain: settings.domain.clone(),
            paths: dialer.paths.clone(),
            connections: ConnectionPool::new(dialer, spawner.clone()),
            spawner: spawner.clone(),
            snapshots,
            placement,
            health: Arc::default(),
            retry_budget: RetryBudget::new(bounds),
            quarantine,
            signals,
            observations,
            broken_sends: BrokenSends::default(),
            bounds,
            metrics,
            shutdown,
            burn: Arc::default(),
            budget: ByteBudget::of_memory(settings.memory_mb),
        });
        let following = Arc::clone(&forwarder).follow_targets();
        spawner.spawn_essential("target updates", following);
        forwarder
    }

    /// Starts the task that probes the pace of each engine received from `engines` and reports it to `owner`.
    pub(crate) fn probe_paces(
        self: &Arc<Self>,
        owner: Arc<Owner>,
        engines: mpsc::Receiver<HostName>,
    ) {
        let probes = run_pace_probes(Arc::clone(self), owner, engines);
        self.spawner.spawn_essential("pace probes", probes);
    }

    /// Forwards one request and returns the answer for the caller.
    pub(crate) async fn forward(self: &Arc<Self>, req: ForwardRequest) -> Response<ProxyBody> {
        self.retry_budget.on_request(&req.service);
        let req = Arc::new(req);
        let response = tokio::select! {
            biased;
            response = self.forward_to_targets(&req) => response,
            response = answer_on_stop(self, &req) => response,
        };
        let took = req.arrived.elapsed();
        let status = response.status();
        self.metrics.on_answer(&req.service, status, took);
        response
    }

    async fn forward_to_targets(
        self: &Arc<Self>,
        req: &Arc<ForwardRequest>,
    ) -> Response<ProxyBody> {
        let disconnect_log = DisconnectLog::new(req, &self.shutdown);
        if req.route.is_stream {
            return forward_stream(Arc::clone(self), Arc::clone(req), disconnect_log).await;
        }
        let response = forward_plain(self, req).await;
        disconnect_log.progress().complete();
        self.record_plain(req, response.status());
        response
    }

    /// Service-level counts of this node's requests.
    pub(crate) fn burn(&self) -> Arc<BurnRecorder> {
        Arc::clone(&self.burn)
    }

    pub(crate) fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// The bytes that this node may buffer for callers and targets.
    pub(crate) fn budget(&self) -> &ByteBudget {
        &self.budget
    }

    /// The part of the byte budget that the client account of a request may use.
    pub(super) fn budget_of(&self, req: &ForwardRequest) -> AccountBudget {
        self.budget.account(&req.account_name())
    }

    /// Counts a plain request. The time to its answer is taken as the time to the first token.
    fn record_plain(&self, req: &ForwardRequest, status: StatusCode) {
        let took = req.arrived.elapsed();
        let answered = status.is_success();
        self.record(
            req,
            &Sample {
                first_token: answered.then_some(took),
                first_token_missed: !answered || took > req.route.latency_target,
                deadline_missed: Instant::now() >= req.deadline,
                answered,
                refused: status == StatusCode::SERVICE_UNAVAILABLE,
            },
        );
    }

    pub(super) fn record(&self, req: &ForwardRequest, sample: &Sample) {
        let account = req.account_name();
        let route = &req.route.name;
        self.burn.record(Instant::now(), &account, route, sample);
    }

    /// Returns a connection to a target, within this node's share of the target's connections.
    pub(super) async fn connect(&self, target: &TargetEntry) -> Result<Connection, ConnectError> {
        let share = self.connection_share(target);
        self.connections
            .checkout(&target.id, target.addr, share)
            .await
    }

    /// Most connections that this node may have to a target.
    pub(super) fn connection_share(&self, target: &TargetEntry) -> usize {
        let snapshot = self.snapshots.load();
        let service = snapshot
            .configuration
            .as_ref()
            .and_then(|c| c.service(&target.service));
        let most = service.map_or(u32::MAX, |s| s.max_connections);
        ConnectionPool::<N>::share(most, snapshot.nodes.len())
    }

    /// Whether a retry is left in this node's share of the retry budget.
    pub(super) fn has_retry(&self, service: &Arc<str>) -> bool {
        let nodes = self.snapshots.load().running_nodes;
        self.retry_budget.has_retry(service, nodes)
    }

    /// Takes one retry from this node's share of the retry budget; `false` if none is left.
    pub(super) fn try_take_retry(&self, service: &Arc<str>) -> bool {
        let nodes = self.snapshots.load().running_nodes;
        self.retry_budget.try_take(service, nodes)
    }

    /// Records the outcome of a send to a plain target, for the nodes that share what they observe.
    pub(super) fn observe(&self, target: &TargetEntry, outcome: SendOutcome) {
        if !self.observations.is_enabled() {
            return;
        }
        let is_failure = matches!(outcome, SendOutcome::NoConnection | SendOutcome::NoAnswer);
        if is_failure && self.paths.is_at_fault(&target.id) {
            return;
        }
        self.health.on_outcome(&target.id, outcome);
        self.observations.record(target, outcome);
        let verdict = self.snapshots.load().target_verdicts.get(&target.id);
        if matches!(verdict, TargetVerdict::OnTrial { .. }) {
            // The outcome ends the trial.
            self.observations.wake();
        }
    }

    /// Performance and capacity of a service's engines; `None` for a plain service.
    pub(super) fn engine_spec(&self, service: &str) -> Option<EngineSpec> {
        let snapshot = self.snapshots.load();
        let configuration = snapshot.configuration.as_ref()?;
        configuration.service(service)?.engine.clone()
    }

    /// Drops the state of targets that were removed or restarted, and all rate-limit state when the limits change.
    async fn follow_targets(self: Arc<Self>) {
        let mut changes = self.snapshots.subscribe();
        let mut known = Arc::clone(&self.snapshots.load().targets);
        let mut limits = Arc::clone(&self.snapshots.load().rate_limits);
        let mut verdicts = Arc::clone(&self.snapshots.load().target_verdicts);
        while changes.changed().await.is_ok() {
            let snapshot = self.snapshots.load();
            if limits != snapshot.rate_limits {
                limits = Arc::clone(&snapshot.rate_limits);
                self.health.clear_limits();
            }
            self.follow_verdicts(&verdicts, &snapshot.target_verdicts);
            verdicts = Arc::clone(&snapshot.target_verdicts);
            let takes_callers = |node| snapshot.node(node).is_some_and(|n| n.takes_callers);
            self.connections.retain_tunnels(takes_callers);
            if Arc::ptr_eq(&known, &snapshot.targets) {
                continue;
            }
            record_late_crashes(&self);
            let before = std::mem::replace(&mut known, Arc::clone(&snapshot.targets));
            let is_known = |id: &HostName| snapshot.targets.get(id).is_some();
            self.connections.retain(is_known);
            self.health.retain(is_known);
            let is_node = |node| snapshot.node(node).is_some();
            self.paths.with(|p| p.retain(is_known, is_node));
            for target in snapshot.targets.restarted_since(&before) {
                tracing::info!(part = "forward", %target, "target restarted");
                self.connections.drop_idle(&target);
                self.health.clear(&target);
            }
        }
    }

    /// Closes idle connections to targets that were ejected, and forgets the failures of those that are back in use.
    fn follow_verdicts(&self, before: &TargetVerdicts, now: &TargetVerdicts) {
        for target in now.returned_in(before) {
            self.connections.drop_idle(target);
        }
        for target in before.returned_in(now) {
            self.health.on_returned(target);
        }
    }
}
