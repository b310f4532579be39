//! The node: starts everything, and stops it gracefully.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::deployment::NodeSettings;
use azuresaddle_core::http::{ServerLimits, serve};
use azuresaddle_core::prelude::*;
use azuresaddle_platform::StorePosition;
use azuresaddle_sched::passes::{Mechanism, PassOptions};
use rand::Rng;
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::control::{Control, ControlParts};
use crate::directory::Directory;
use crate::forward::{Forwarder, ForwarderParts, InFlight};
use crate::frontend::{CallerService, Stopping, serve_callers};
use crate::metrics::Metrics;
use crate::operator_endpoints::OperatorEndpoints;
use crate::peer::{PeerClients, serve_peers};
use crate::placement::{Owner, PlacementClient, PlacementClientParts};
use crate::quarantine::SharedQuarantine;
use crate::snapshot::{LiveNode, NO_OWNER, Snapshot, Snapshots, TargetSet};

/// Part of the grace of a stop after which new requests are refused: callers have had their time to
/// live to learn of other addresses.
const REFUSE_AFTER_SHARE: f64 = 0.34;

/// Time kept of the grace for the process to end.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// News of silent nodes that wait for control; it needs one at a time.
const UNRESPONSIVE_OWNER_QUEUE_CAPACITY: usize = 8;

/// Crashes under this node's requests that wait for control: those of a dozen full targets.
const CRASH_QUEUE_CAPACITY: usize = 256;

/// Signals of targets that wait for control: those of a few hundred answers.
const SIGNAL_QUEUE_CAPACITY: usize = 256;

/// Engines that wait to be asked for their pace; a pool that suspects more of them asks again.
const PACE_QUESTION_QUEUE_CAPACITY: usize = 64;

/// Time between two looks whether all answers are finished.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The node can't be opened.
#[derive(Debug, Error)]
pub enum OpenError {
    /// An address can't be bound.
    #[error("can't listen on {what} {addr}: {source}")]
    Bind {
        /// What listens there.
        what: &'static str,
        /// The address.
        addr: SocketAddr,
        /// Why not.
        #[source]
        source: io::Error,
    },
}

/// What a node is told beside the platform's settings.
#[derive(Clone, Debug, Default)]
pub struct NodeOptions {
    /// Port of the metrics; `None` serves none.
    pub metrics_port: Option<u16>,
    /// Mechanisms of placement that are switched off.
    pub without: Vec<Mechanism>,
}

/// A running node.
pub struct Node {
    leaving: CancellationToken,
    closed: CancellationToken,
    stopping: Arc<Stopping>,
    in_flight: InFlight,
    grace: Duration,
}

impl Node {
    /// Binds all addresses and starts to serve; control runs on its own runtime.
    ///
    /// # Errors
    /// Where an address can't be bound.
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
        let (unresponsive_owners, unresponsive_owners_rx) =
            mpsc::channel(UNRESPONSIVE_OWNER_QUEUE_CAPACITY);
        let (crashes, crashes_seen) = mpsc::channel(CRASH_QUEUE_CAPACITY);
        let quarantine = SharedQuarantine::new(crashes, metrics.clone());
        let (signals, signals_observed) = mpsc::channel(SIGNAL_QUEUE_CAPACITY);
        Control::spawn(ControlParts {
            settings: settings.clone(),
            net: net.clone(),
            spawner: control_spawner,
            incarnation,
            started_ms: unix_ms(),
            socket,
            snapshots: snapshots.clone(),
            leaving: leaving.clone(),
            no_answer: unresponsive_owners_rx,
            quarantine: Arc::clone(&quarantine),
            crashes_seen,
            signals_observed,
            metrics: metrics.clone(),
        });
        let (pace_questions, pace_questions_rx) = mpsc::channel(PACE_QUESTION_QUEUE_CAPACITY);
        let all = PassOptions::default();
        let placing = options.without.iter().fold(all, |o, m| o.without(*m));
        let owner = Owner::spawn(&spawner, &snapshots, incarnation, placing, pace_questions);
        let peer_addr = SocketAddr::from((settings.ip, settings.peer_port));
        let peers = bind(&net, "calls between nodes", peer_addr).await?;
        let served = Arc::clone(&owner);
        serve_peers(peers, &spawner, served, snapshots.clone(), incarnation);
        let placement = PlacementClient::spawn(
            &spawner,
            PlacementClientParts {
                node: incarnation,
                domain: settings.domain.clone(),
                owner: Arc::clone(&owner),
                peers: PeerClients::new(net.clone(), spawner.clone()),
                snapshots: snapshots.clone(),
                unresponsive_owners,
            },
        );
        let parts = ForwarderParts {
            spawner: spawner.clone(),
            snapshots: snapshots.clone(),
            placement,
            quarantine: Arc::clone(&quarantine),
            signals,
            metrics: metrics.clone(),
        };
        let forwarder = Forwarder::spawn(net.clone(), &settings, parts);
        forwarder.check_paces(owner, pace_questions_rx);
        let endpoints = Arc::new(OperatorEndpoints {
            metrics,
            burn: forwarder.burn(),
            quarantine,
        });
        let stopping = Arc::new(Stopping::default());
        let in_flight = InFlight::default();
        let closed = CancellationToken::new();
        let callers = bind(&net, "callers", settings.listen.callers).await?;
        let service = CallerService::new(
            forwarder,
            snapshots.clone(),
            Arc::clone(&stopping),
            in_flight.clone(),
        );
        serve_callers(callers, &spawner, service, closed.clone());
        let directory = Directory::new(snapshots, settings.bounds.max_address_ttl);
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
            leaving,
            closed,
            stopping,
            in_flight,
            grace: settings.bounds.stop_grace,
        })
    }

    /// Stops gracefully: leaves the addresses that callers are told, then refuses new requests, and
    /// returns when every answer is finished or the grace is nearly over.
    pub async fn stop(&self) {
        let started = Instant::now();
        tracing::info!(
            part = "node",
            in_flight = self.in_flight.count(),
            "stopping"
        );
        self.leaving.cancel();
        self.stopping.advance();
        tokio::time::sleep_until(started + self.grace.mul_f64(REFUSE_AFTER_SHARE)).await;
        self.stopping.advance();
        let end = started + self.grace - EXIT_MARGIN;
        // Callers that were told this address before may still come for a moment, and get a refusal
        // rather than a closed port.
        tokio::time::sleep(DRAIN_POLL_INTERVAL * 4).await;
        while self.in_flight.count() > 0 && Instant::now() < end {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.closed.cancel();
        tracing::info!(
            part = "node",
            in_flight = self.in_flight.count(),
            took_ms = started.elapsed().as_millis() as u64,
            "stopped"
        );
    }
}

fn first_snapshot(settings: &NodeSettings, incarnation: u64) -> Snapshot {
    let own = LiveNode {
        incarnation,
        callers_addr: settings.listen.callers,
        peer_addr: SocketAddr::from((settings.ip, settings.peer_port)),
        takes_callers: false,
    };
    Snapshot {
        configuration: None,
        raw_configuration: None,
        targets: Arc::new(TargetSet::default()),
        rate_limits: Arc::default(),
        target_records: Arc::default(),
        target_position: StorePosition::default(),
        nodes: Arc::new(vec![own]),
        owner: NO_OWNER,
        is_leaving: false,
    }
}

/// Serves the metrics; a node without them still serves callers.
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
        Err(e) => tracing::warn!(part = "node", error = %e, "no metrics"),
    }
}

/// Opens the socket for heartbeats on the runtime that reads it.
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

/// Unix time, in milliseconds; orders nodes by their start and is never compared to a clock.
fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now();
    let since = now
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
