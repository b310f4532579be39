//! The node: starts all its parts, and stops them gracefully.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::bounded_time::scaled;
use azuresaddle_core::deployment::NodeSettings;
use azuresaddle_core::http::{ServerLimits, serve};
use azuresaddle_core::prelude::*;
use azuresaddle_sched::addresses::LoadLevel;
use azuresaddle_sched::passes::{Mechanism, PassOptions};
use rand::Rng;
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::control::{Control, ControlParts};
use crate::directory::{Directory, DirectoryParts};
use crate::domain_hash::domain_hash;
use crate::forward::{Forwarder, ForwarderParts, InFlightAnswers};
use crate::frontend::{CallerService, serve_callers};
use crate::metrics::Metrics;
use crate::operator_endpoints::OperatorEndpoints;
use crate::peer::{PeerClients, serve_peers};
use crate::placement::{Owner, PlacementClient, PlacementClientParts};
use crate::quarantine::SharedQuarantine;
use crate::shutdown::{Shutdown, ShutdownStage};
use crate::snapshot::{LiveNode, NO_OWNER, Snapshot, Snapshots};
use crate::targets::{SendObservations, SharedPaths, TargetDialer};
use crate::thread_watch::watch_threads;
use crate::tunnel::{TunnelServer, serve_tunnels};

/// Part of the grace period of a stop after which new requests are refused. By then the time to live of the
/// addresses has passed, so callers have looked up other nodes.
const REFUSE_AFTER_SHARE: f64 = 0.34;

/// Part of the grace period that is reserved for the exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// Most reports of unresponsive owners that wait for control, which needs only one at a time.
const UNRESPONSIVE_OWNER_QUEUE_CAPACITY: usize = 8;

/// Most quarantine updates that wait for control: the crashes of a dozen targets with all their slots in use, each with
/// three shared parts in its prompt.
const CRASH_QUEUE_CAPACITY: usize = 1024;

/// Most signals of targets that wait for control: those of a few hundred answers.
const SIGNAL_QUEUE_CAPACITY: usize = 256;

/// Most engines that wait for a probe of their pace. A pool that suspects more of them requests them again later.
const PACE_PROBE_QUEUE_CAPACITY: usize = 64;

/// Time before [`EXIT_MARGIN`] in which requests whose answer has not begun get a final one.
const FINAL_ANSWERS_TIME: Duration = Duration::from_millis(200);

/// Interval at which a stopping node checks whether all answers are finished.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The node can't be started.
#[derive(Debug, Error)]
pub enum OpenError {
    /// An address can't be bound.
    #[error("can't listen on {what} {addr}: {source}")]
    Bind {
        /// What would listen there.
        what: &'static str,
        /// The address.
        addr: SocketAddr,
        /// The cause.
        #[source]
        source: io::Error,
    },
}

/// Options of a node beyond the platform's settings.
#[derive(Clone, Debug, Default)]
pub struct NodeOptions {
    /// Port on which to serve metrics and other endpoints for operators; `None` to serve none.
    pub metrics_port: Option<u16>,
    /// Whether the owner of a pool admits streams by an estimate of their wait, and orders them by priority. All nodes
    /// must agree.
    pub admits_by_wait: bool,
    /// Placement mechanisms that are disabled.
    pub without: Vec<Mechanism>,
}

/// A running node.
pub struct Node {
    spawner: Spawner,
    leaving: CancellationToken,
    closed: CancellationToken,
    stopping: Arc<Shutdown>,
    in_flight: InFlightAnswers,
    grace: Duration,
}

impl Node {
    /// Binds all addresses and starts to serve. Control runs on the runtime `control`.
    ///
    /// # Errors
    /// If an address can't be bound, except that of the metrics.
    pub async fn open<N: Network>(
        settings: NodeSettings,
        options: NodeOptions,
        net: N,
        spawner: Spawner,
        control: Handle,
    ) -> Result<Self, OpenError> {
        let metrics = Metrics::new();
        let incarnation = rand::rng().random_range(NO_OWNER + 1..=u64::MAX);
        let snapshots = Snapshots::new(first_snapshot(&settings, incarnation));
        let leaving = CancellationToken::new();
        let socket = bind_heartbeat_socket(&settings, &control).await?;
        let control_spawner = spawner.on_runtime(control);
        watch_threads(&spawner, &control_spawner, &snapshots, &metrics);
        let (unresponsive_owners, unresponsive_owners_rx) =
            mpsc::channel(UNRESPONSIVE_OWNER_QUEUE_CAPACITY);
        let (crashes, crashes_observed) = mpsc::channel(CRASH_QUEUE_CAPACITY);
        let quarantine = SharedQuarantine::new(crashes, metrics.clone());
        let (signals, signals_observed) = mpsc::channel(SIGNAL_QUEUE_CAPACITY);
        let observations = SendObservations::new(settings.features.shared_health);
        let observations = Arc::new(observations);
        Control::spawn(ControlParts {
            settings: settings.clone(),
            net: net.clone(),
            spawner: control_spawner,
            incarnation,
            started_ms: unix_ms(),
            socket,
            snapshots: snapshots.clone(),
            leaving: leaving.clone(),
            unresponsive_owners: unresponsive_owners_rx,
            quarantine: Arc::clone(&quarantine),
            crashes_observed,
            signals_observed,
            observations: Arc::clone(&observations),
            metrics: metrics.clone(),
        });
        let (pace_probes, pace_probes_rx) = mpsc::channel(PACE_PROBE_QUEUE_CAPACITY);
        let all = PassOptions {
            admission: options.admits_by_wait,
            forecast: settings.features.demand_forecast,
            ..PassOptions::default()
        };
        let pass_options = options.without.iter().fold(all, |o, m| o.without(*m));
        let sends_priority = pass_options.admission;
        let owner = Owner::spawn(
            &spawner,
            &snapshots,
            incarnation,
            pass_options,
            pace_probes,
            &metrics,
        );
        let peer_addr = SocketAddr::from((settings.ip, settings.peer_port));
        let peers = bind(&net, "calls between nodes", peer_addr).await?;
        let peer_owner = Arc::clone(&owner);
        let link = settings.link_bytes_per_s;
        serve_peers(
            peers,
            &spawner,
            peer_owner,
            snapshots.clone(),
            incarnation,
            link,
        );
        let placement = PlacementClient::spawn(
            &spawner,
            PlacementClientParts {
                node: incarnation,
                domain: settings.domain.clone(),
                sends_priority,
                owner: Arc::clone(&owner),
                peers: PeerClients::new(net.clone(), spawner.clone()),
                snapshots: snapshots.clone(),
                unresponsive_owners,
            },
        );
        let paths = SharedPaths::new(metrics.clone());
        let in_flight = InFlightAnswers::default();
        let tunnel_addr = SocketAddr::from((settings.ip, settings.tunnel_port));
        let tunnels = bind(&net, "tunnels to targets", tunnel_addr).await?;
        let tunnel_server = TunnelServer {
            net: net.clone(),
            snapshots: snapshots.clone(),
            paths: paths.clone(),
            metrics: metrics.clone(),
            in_flight: in_flight.clone(),
            leaving: leaving.clone(),
        };
        serve_tunnels(tunnels, &spawner, tunnel_server);
        let stopping = Arc::new(Shutdown::default());
        let parts = ForwarderParts {
            spawner: spawner.clone(),
            snapshots: snapshots.clone(),
            placement,
            quarantine: Arc::clone(&quarantine),
            signals,
            observations,
            metrics: metrics.clone(),
            dialer: TargetDialer {
                net: net.clone(),
                spawner: spawner.clone(),
                node: incarnation,
                snapshots: snapshots.clone(),
                paths,
                tunnel_port: settings.tunnel_port,
            },
            shutdown: Arc::clone(&stopping),
        };
        let forwarder = Forwarder::spawn(&settings, parts);
        forwarder.probe_paces(owner, pace_probes_rx);
        let endpoints = Arc::new(OperatorEndpoints {
            metrics: metrics.clone(),
            burn: forwarder.burn(),
            quarantine,
            snapshots: snapshots.clone(),
            budget: forwarder.budget().clone(),
        });
        let closed = CancellationToken::new();
        let callers = bind(&net, "callers", settings.listen.callers).await?;
        let service = CallerService::new(
            forwarder,
            snapshots.clone(),
            Arc::clone(&stopping),
            in_flight.clone(),
        );
        serve_callers(callers, &spawner, service, closed.clone());
        let directory = Directory::new(DirectoryParts {
            snapshots,
            own_addr: settings.listen.callers,
            leaving: leaving.clone(),
            max_ttl: settings.bounds.max_address_ttl,
            metrics: metrics.clone(),
        });
        for (what, addr) in [
            ("the directory", settings.listen.directory),
            ("readiness", settings.listen.readiness),
        ] {
            let listener = bind(&net, what, addr).await?;
            let limits = ServerLimits::default();
            serve(listener, spawner.clone(), limits, Arc::clone(&directory));
        }
        if let Some(port) = options.metrics_port {
            let addr = SocketAddr::from((settings.ip, port));
            serve_metrics(&net, &spawner, addr, endpoints).await;
        }
        Ok(Self {
            spawner,
            leaving,
            closed,
            stopping,
            in_flight,
            grace: settings.bounds.stop_grace,
        })
    }

    /// Stops gracefully: removes this node from the addresses that callers are given, later refuses new requests and those
    /// that still wait for a target, and returns when every answer is finished or the grace period is nearly over. Requests
    /// whose answer has not begun by then get a final answer.
    pub async fn stop(&self) {
        let started = Instant::now();
        tracing::info!(
            part = "node",
            in_flight = self.in_flight.count(),
            "stopping"
        );
        self.leaving.cancel();
        self.stopping.enter(ShutdownStage::Closing);
        tokio::time::sleep_until(started + scaled(self.grace, REFUSE_AFTER_SHARE)).await;
        self.finish(started).await;
    }

    /// Waits until a task has failed that the node can't do without.
    pub async fn failure(&self) -> TaskFailure {
        self.spawner.failure().await
    }

    /// Stops after a failure: refuses requests at once, since the node may not know the present configuration, and returns
    /// when every answer in flight is finished or the grace period is nearly over.
    pub async fn stop_failed(&self, failure: TaskFailure) {
        tracing::error!(
            part = "node",
            %failure,
            in_flight = self.in_flight.count(),
            "stopping after a failure"
        );
        self.leaving.cancel();
        self.finish(Instant::now()).await;
    }

    /// Refuses new requests, waits for the answers in flight and closes the connections.
    async fn finish(&self, started: Instant) {
        self.stopping.enter(ShutdownStage::Refusing);
        let end = started + self.grace - EXIT_MARGIN;
        // Callers that looked up this address earlier may still connect for a moment. They get a refusal rather than a
        // closed port.
        tokio::time::sleep(DRAIN_POLL_INTERVAL * 4).await;
        self.wait_for_answers(end - FINAL_ANSWERS_TIME).await;
        self.stopping.enter(ShutdownStage::Ending);
        self.wait_for_answers(end).await;
        self.closed.cancel();
        tracing::info!(
            part = "node",
            in_flight = self.in_flight.count(),
            took_ms = started.elapsed().as_millis() as u64,
            "stopped"
        );
    }

    /// Waits until every answer is finished, at most until `end`.
    async fn wait_for_answers(&self, end: Instant) {
        while self.in_flight.count() > 0 && Instant::now() < end {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

fn first_snapshot(settings: &NodeSettings, incarnation: u64) -> Snapshot {
    let own = LiveNode {
        incarnation,
        callers_addr: settings.listen.callers,
        peer_addr: SocketAddr::from((settings.ip, settings.peer_port)),
        takes_callers: false,
        domain: domain_hash(&settings.domain),
        cpu_milli: settings.cpu_milli(),
        is_watching: false,
        load: LoadLevel::default(),
    };
    Snapshot {
        nodes: Arc::new(vec![own]),
        ..Snapshot::empty()
    }
}

/// Serves the endpoints for operators. A failure is only logged, since the node can serve callers without them.
async fn serve_metrics<N: Network>(
    net: &N,
    spawner: &Spawner,
    addr: SocketAddr,
    endpoints: Arc<OperatorEndpoints>,
) {
    match bind(net, "metrics", addr).await {
        Ok(listener) => {
            serve(
                listener,
                spawner.clone(),
                ServerLimits::default(),
                endpoints,
            );
        }
        Err(e) => tracing::warn!(part = "node", error = %e, "can't serve metrics"),
    }
}

/// Binds the socket for heartbeats on the runtime that reads it.
async fn bind_heartbeat_socket(
    settings: &NodeSettings,
    control: &Handle,
) -> Result<UdpSocket, OpenError> {
    let addr = SocketAddr::from((settings.ip, settings.heartbeat_port));
    let opened = control.spawn(UdpSocket::bind(addr)).await;
    opened
        .unwrap_or_else(|e| Err(io::Error::other(e)))
        .map_err(|source| OpenError::Bind {
            what: "heartbeats",
            addr,
            source,
        })
}

async fn bind<N: Network>(
    net: &N,
    what: &'static str,
    addr: SocketAddr,
) -> Result<N::Listener, OpenError> {
    net.bind(addr)
        .await
        .map_err(|source| OpenError::Bind { what, addr, source })
}

/// Current Unix time in milliseconds. Used to order nodes by their start, and never compared to a clock.
fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now();
    let since = now
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
