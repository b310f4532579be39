//! The request path of a node between a caller and a target in memory.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::byte_budget::{ByteBudget, HeldFor};
use azuresaddle_core::deployment::{
    Account, Configuration, EngineSpec, Idempotency, NodeSettings, RequestLimits, Route, Service,
    WeightedService,
};
use azuresaddle_core::prelude::*;
use azuresaddle_core::version::RulesVersion;
use azuresaddle_sched::passes::PassOptions;
use tokio::io::{DuplexStream, duplex};
use tokio::sync::mpsc;

use crate::control::tests::memory_network::{
    MemoryListener, MemoryNetwork, memory_network_with_buffer,
};
use crate::control_progress::ControlProgress;
use crate::forward::{Forwarder, ForwarderParts, InFlightAnswers};
use crate::frontend::CallerService;
use crate::frontend::connection::serve_connection;
use crate::metrics::Metrics;
use crate::peer::PeerClients;
use crate::placement::{Owner, PlacementClient, PlacementClientParts};
use crate::quarantine::SharedQuarantine;
use crate::shutdown::Shutdown;
use crate::snapshot::{LiveNode, Snapshot, Snapshots, TargetSet};
use crate::targets::{SendObservations, SharedPaths, TargetDialer};
use crate::tests::settings::node_settings;
use crate::tests::snapshots::{live_node, ready_target};

/// Bytes that a connection of a caller buffers.
const CALLER_BUFFER_BYTES: usize = 1024;

/// Name of the first target.
pub(super) const TARGET: &str = "t1";

/// Name of the second one, if there are two.
const SECOND_TARGET: &str = "t2";

/// Name of the third one, if there are three.
const THIRD_TARGET: &str = "t3";

/// Sizes of a test's node and connections.
#[derive(Clone, Copy)]
pub(super) struct TestOptions {
    pub(super) memory_mb: u64,
    /// Bytes that a connection to the target buffers.
    pub(super) target_buffer_bytes: usize,
    /// Whether there are two targets.
    pub(super) has_second_target: bool,
    /// Whether there is a third target in addition.
    pub(super) has_third_target: bool,
    /// Number of targets in addition to the third one.
    pub(super) more_targets: usize,
    /// Whether a prompt is split over more engines than its memory needs.
    pub(super) splits_prompts: bool,
    /// Most targets that may run a request which may be repeated.
    pub(super) max_attempts: u32,
    /// Memory of an engine, in tokens.
    pub(super) memory_tokens: u64,
    /// Whether the targets are engines, on which streams are placed by their owner.
    pub(super) has_engines: bool,
    /// Longest head of a request, in bytes.
    pub(super) max_header_bytes: usize,
    /// Whether the node shares what it observes of plain targets.
    pub(super) shares_health: bool,
}

impl Default for TestOptions {
    fn default() -> Self {
        Self {
            memory_mb: 160,
            target_buffer_bytes: 1024,
            has_second_target: false,
            has_third_target: false,
            more_targets: 0,
            splits_prompts: true,
            max_attempts: 2,
            memory_tokens: 450_000,
            has_engines: false,
            max_header_bytes: RequestLimits::default().max_header_bytes,
            shares_health: false,
        }
    }
}

/// A node with one or more targets and the accounts `a` and `b`, whose keys are their names. Requests to `/events/` and
/// `/plain/` run once, those to `/resumable/` and `/idempotent/` on two targets at most unless the options say otherwise.
pub(super) struct TestNode {
    pub(super) service: Arc<CallerService<MemoryNetwork>>,
    forwarder: Arc<Forwarder<MemoryNetwork>>,
    /// Accepts the node's connections to all targets.
    pub(super) target: MemoryListener,
    pub(super) shutdown: Arc<Shutdown>,
    pub(super) in_flight: InFlightAnswers,
    metrics: Metrics,
    options: TestOptions,
    snapshots: Snapshots,
}

impl TestNode {
    pub(super) fn open(options: TestOptions) -> Self {
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 8149));
        let (net, target) = memory_network_with_buffer(addr, options.target_buffer_bytes);
        let spawner = Spawner::current();
        let settings = NodeSettings {
            memory_mb: options.memory_mb,
            ..node_settings()
        };
        let snapshots = Snapshots::new(snapshot(&options));
        let metrics = Metrics::new();
        // No test of this kind sends what these channels carry.
        let (crashes, _) = mpsc::channel(1);
        let (signals, _) = mpsc::channel(1);
        let (probes, _) = mpsc::channel(1);
        let (unresponsive_owners, _) = mpsc::channel(1);
        let pass_options = PassOptions {
            split_long: options.splits_prompts,
            ..PassOptions::default()
        };
        let owner = Owner::spawn(&spawner, &snapshots, 1, pass_options, probes, &metrics);
        let placement = PlacementClient::spawn(
            &spawner,
            PlacementClientParts {
                node: 1,
                domain: settings.domain.clone(),
                owner,
                peers: PeerClients::new(net.clone(), spawner.clone()),
                snapshots: snapshots.clone(),
                unresponsive_owners,
                sends_priority: false,
            },
        );
        let shutdown = Arc::new(Shutdown::default());
        let parts = ForwarderParts {
            spawner: spawner.clone(),
            snapshots: snapshots.clone(),
            placement,
            quarantine: SharedQuarantine::new(crashes, metrics.clone()),
            signals,
            observations: Arc::new(SendObservations::new(options.shares_health)),
            metrics: metrics.clone(),
            dialer: TargetDialer {
                net,
                spawner: spawner.clone(),
                node: 1,
                snapshots: snapshots.clone(),
                paths: SharedPaths::new(metrics.clone()),
                tunnel_port: settings.tunnel_port,
            },
            shutdown: Arc::clone(&shutdown),
        };
        let forwarder = Forwarder::spawn(&settings, parts);
        let in_flight = InFlightAnswers::default();
        let service = CallerService::new(
            Arc::clone(&forwarder),
            snapshots.clone(),
            Arc::clone(&shutdown),
            in_flight.clone(),
        );
        Self {
            service,
            forwarder,
            target,
            shutdown,
            in_flight,
            metrics,
            options,
            snapshots,
        }
    }

    /// Publishes a version of the configuration with other routes.
    pub(super) fn change_routes(&self, change: impl FnOnce(&mut Vec<Route>)) {
        let mut all = routes(&self.options);
        change(&mut all);
        let configuration = configuration(RulesVersion(2), &self.options, all);
        self.snapshots.publish(Snapshot {
            configuration: Some(Arc::new(configuration)),
            ..(*self.snapshots.load()).clone()
        });
    }

    /// Publishes that all targets are gone.
    pub(super) fn remove_targets(&self) {
        self.snapshots.publish(Snapshot {
            targets: Arc::new(TargetSet::new(std::iter::empty())),
            ..(*self.snapshots.load()).clone()
        });
    }

    /// The progress of control, which tests report in its place.
    pub(super) fn progress(&self) -> &ControlProgress {
        self.snapshots.progress()
    }

    /// Opens a caller's connection to the node.
    pub(super) fn connect(&self) -> DuplexStream {
        Self::connect_to(&self.service)
    }

    /// Opens a caller's connection to a node by its service for callers.
    pub(super) fn connect_to(service: &Arc<CallerService<MemoryNetwork>>) -> DuplexStream {
        let (near, far) = duplex(CALLER_BUFFER_BYTES);
        tokio::spawn(serve_connection(far, Arc::clone(service)));
        near
    }

    pub(super) fn budget(&self) -> &ByteBudget {
        self.forwarder.budget()
    }

    pub(super) fn held(&self, held_for: HeldFor) -> u64 {
        self.budget().held(held_for)
    }

    /// Whether the metrics hold a line that begins so.
    pub(super) fn has_metric_of(&self, start: &str) -> bool {
        self.metrics.text().lines().any(|l| l.starts_with(start))
    }

    /// Whether the metrics hold this line.
    pub(super) fn has_metric(&self, line: &str) -> bool {
        self.metrics.set_held_bytes(self.budget());
        self.metrics.text().lines().any(|l| l == line)
    }
}

fn snapshot(options: &TestOptions) -> Snapshot {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 8149));
    let others = [
        (SECOND_TARGET, options.has_second_target),
        (THIRD_TARGET, options.has_third_target),
    ];
    let others = others.into_iter().filter(|(_, exists)| *exists);
    let names = std::iter::once(TARGET).chain(others.map(|(name, _)| name));
    let more = (4..4 + options.more_targets).map(|number| format!("t{number}"));
    let names = names.map(str::to_owned).chain(more);
    let targets = names.map(|name| Arc::new(ready_target(&name, addr)));
    let all_routes = routes(options);
    let configuration = configuration(RulesVersion(1), options, all_routes);
    Snapshot {
        configuration: Some(Arc::new(configuration)),
        targets: Arc::new(TargetSet::new(targets)),
        nodes: Arc::new(vec![LiveNode {
            callers_addr: addr,
            peer_addr: addr,
            ..live_node(1)
        }]),
        owner: 1,
        ..Snapshot::empty()
    }
}

/// Performance of the targets, if they are engines. Each leads about ten short streams.
fn engine_spec(memory_tokens: u64) -> EngineSpec {
    EngineSpec {
        slots: 16,
        memory_tokens,
        steps_per_pass: 46,
        step_ms: 0.9,
        step_ms_per_stream: 0.2,
        step_ms_per_1k_context: 0.001,
        prefill_tokens_per_ms: 256.0,
        attention_ms_per_1m_pairs: 0.01,
        max_prefill_tokens_per_step: 2048,
        helper_hop_ms: 0.1,
        report_lag: Duration::from_millis(300),
        mean_answer_tokens: 1800,
    }
}

fn routes(options: &TestOptions) -> Vec<Route> {
    vec![
        route("/events/", true, 1),
        route("/plain/", false, 1),
        route("/resumable/", true, options.max_attempts),
        route("/idempotent/", false, options.max_attempts),
    ]
}

fn configuration(
    version: RulesVersion,
    options: &TestOptions,
    routes: Vec<Route>,
) -> Configuration {
    let service = Service {
        name: Arc::from("svc"),
        health_path: "/healthz".to_owned(),
        max_connections: 10_000,
        cold_limit: None,
        engine: options
            .has_engines
            .then(|| engine_spec(options.memory_tokens)),
    };
    let account = |name: &str| Account {
        name: ClientAccount::new(name),
        api_keys: vec![name.to_owned()],
        priority: None,
    };
    Configuration::new(
        version,
        RequestLimits {
            max_header_bytes: options.max_header_bytes,
            ..RequestLimits::default()
        },
        routes,
        vec![service],
        vec![account("a"), account("b")],
    )
}

fn route(prefix: &str, is_stream: bool, max_attempts: u32) -> Route {
    let idempotency = if max_attempts > 1 {
        Idempotency::Idempotent
    } else {
        Idempotency::AtMostOnce
    };
    Route {
        name: Arc::from(prefix),
        host: "desk.example".to_owned(),
        prefix: prefix.to_owned(),
        idempotency,
        is_stream,
        timeout: Duration::from_secs(300),
        latency_target: Duration::from_millis(300),
        pause_target: Some(Duration::from_millis(200)),
        priority: 5,
        services: vec![WeightedService {
            service: Arc::from("svc"),
            weight: 1,
        }],
        max_attempts,
        is_public: false,
    }
}
