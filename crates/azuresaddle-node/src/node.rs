//! Starts and stops a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use azuresaddle_core::burn::BurnRecorder;
use azuresaddle_core::http::{HttpClient, ServerLimits, serve};
use azuresaddle_core::prelude::*;
use azuresaddle_store::{Claims, HttpStore};
use thiserror::Error;
use tokio::runtime::Handle;
use tokio::sync::{Semaphore, mpsc};

use crate::control::{Command, Control, ControlHandle, ControlParts, LiveStreams};
use crate::engine::EngineClient;
use crate::metrics::Metrics;
use crate::peer::{PeerClients, serve_peers};
use crate::settings::{Settings, SettingsError};
use crate::snapshot::{Admission, SharedSnapshot, Snapshot};
use crate::traffic::{
    AdminHandler, BODY_PERMIT_BYTES, CallerHandler, ServiceLoad, Traffic, spawn_reporter,
};

/// Capacity of the control task's command queue; senders wait while it is full.
const COMMAND_QUEUE_CAPACITY: usize = 4096;

/// Interval at which a stopping node checks whether it is idle.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Why a node could not be opened.
#[derive(Debug, Error)]
pub enum OpenError {
    /// A setting is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An address can't be bound.
    #[error("--{flag} {addr}: {source}")]
    Bind {
        /// Name of the flag.
        flag: &'static str,
        /// The address.
        addr: SocketAddr,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// Metrics can't be sent.
    #[error("--metrics: {0}")]
    Metrics(#[source] std::io::Error),
}

/// A running node.
pub struct Node {
    name: HostName,
    addr: SocketAddr,
    peer_addr: SocketAddr,
    admin_addr: SocketAddr,
    control: ControlHandle,
    snapshot: SharedSnapshot,
    live: LiveStreams,
    spawner: Spawner,
}

impl Node {
    /// Checks the settings, binds the addresses and starts all tasks.
    ///
    /// The control task runs on the runtime of `control`, everything else on the current one.
    ///
    /// # Errors
    /// Returns an error if a setting is invalid, an address can't be bound or the metrics socket
    /// can't be opened.
    pub async fn open<N: Network>(
        settings: Settings,
        net: N,
        spawner: Spawner,
        control: Handle,
    ) -> Result<Self, OpenError> {
        settings.check()?;
        let metrics = match settings.metrics {
            Some(addr) => Metrics::open(addr).map_err(OpenError::Metrics)?,
            None => Metrics::disabled(),
        };
        let callers = bind(&net, "listen", settings.listen).await?;
        let peers = bind(&net, "peer-listen", settings.peer_listen).await?;
        let admins = bind(&net, "admin-listen", settings.admin_listen).await?;
        let (addr, peer_addr) = (callers.local_addr(), peers.local_addr());
        let admin_addr = admins.local_addr();
        let name = settings.name.clone();
        let limits = ServerLimits {
            max_connections: settings.max_connections,
            header_timeout: settings.body_timeout,
            ..ServerLimits::default()
        };
        let parts = NodeParts {
            settings: Arc::new(settings),
            net,
            spawner: spawner.clone(),
            control_spawner: spawner.on_runtime(control),
            snapshot: Arc::new(ArcSwap::from_pointee(Snapshot::empty())),
            live: LiveStreams::default(),
            metrics,
        };
        let burn = Arc::new(BurnRecorder::default());
        let control = parts.spawn_control(peer_addr, Arc::clone(&burn));
        let traffic = Arc::new(parts.traffic(control.clone(), burn));
        serve_peers(peers, &parts.control_spawner, control.clone());
        let handler = Arc::new(CallerHandler::new(Arc::clone(&traffic)));
        serve(callers, spawner.clone(), limits, handler);
        let handler = Arc::new(AdminHandler::new(traffic));
        serve(admins, spawner.clone(), limits, handler);
        tracing::info!("node: {name} listening for callers on {addr}");
        Ok(Self {
            name,
            addr,
            peer_addr,
            admin_addr,
            control,
            snapshot: parts.snapshot,
            live: parts.live,
            spawner,
        })
    }

    /// Name of the node's host.
    pub fn name(&self) -> &HostName {
        &self.name
    }

    /// Address on which callers are served.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Address on which other nodes are served.
    pub fn peer_addr(&self) -> SocketAddr {
        self.peer_addr
    }

    /// Address on which operators are served.
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin_addr
    }

    /// The current snapshot.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Stops gracefully: the address is no longer returned to callers, pools are handed over to
    /// other nodes, and the call returns when the last answer has ended.
    pub async fn stop(&self) {
        self.control.send(Command::Stop).await;
        while self.snapshot.load().admission != Admission::Stopping {
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
        }
        while !self.live.is_empty() {
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
        }
        tracing::info!("node: {} stopped", self.name);
    }

    /// Spawner of the node's tasks, which can kill or freeze them.
    pub fn spawner(&self) -> &Spawner {
        &self.spawner
    }
}

struct NodeParts<N> {
    settings: Arc<Settings>,
    net: N,
    spawner: Spawner,
    control_spawner: Spawner,
    snapshot: SharedSnapshot,
    live: LiveStreams,
    metrics: Metrics,
}

impl<N: Network> NodeParts<N> {
    fn store(&self, http: HttpClient<N>) -> HttpStore<N> {
        HttpStore::new(http, self.settings.store, self.settings.store_timeout)
    }

    fn spawn_control(&self, peer_addr: SocketAddr, burn: Arc<BurnRecorder>) -> ControlHandle {
        let (tx, rx) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let http = HttpClient::new(self.net.clone(), self.control_spawner.clone());
        let control = Control::new(ControlParts {
            settings: Arc::clone(&self.settings),
            peer_addr,
            peers: PeerClients::new(self.net.clone(), self.control_spawner.clone()),
            store: self.store(http.clone()),
            http,
            spawner: self.control_spawner.clone(),
            live: self.live.clone(),
            snapshot: Arc::clone(&self.snapshot),
            tx: tx.clone(),
            metrics: self.metrics.clone(),
        });
        self.control_spawner
            .spawn_essential("control", control.run(rx));
        ControlHandle::new(tx, Arc::clone(&self.snapshot), burn)
    }

    fn traffic(&self, control: ControlHandle, burn: Arc<BurnRecorder>) -> Traffic<N> {
        let http = HttpClient::new(self.net.clone(), self.spawner.clone());
        let peers = PeerClients::new(self.net.clone(), self.spawner.clone());
        let store = self.store(http.clone());
        let name = self.settings.name.clone();
        let snapshot = Arc::clone(&self.snapshot);
        let reports = spawn_reporter(
            name.clone(),
            Arc::clone(&snapshot),
            control.clone(),
            peers.clone(),
            &self.spawner,
        );
        let permits = self.settings.max_buffered_bytes / BODY_PERMIT_BYTES;
        Traffic {
            engines: EngineClient::new(http.clone(), self.settings.target_timeout),
            claims: Claims::spawn(&store, name, &self.spawner),
            settings: Arc::clone(&self.settings),
            live_streams: self.live.clone(),
            body_permits: Arc::new(Semaphore::new(permits.min(Semaphore::MAX_PERMITS))),
            spawner: self.spawner.clone(),
            metrics: self.metrics.clone(),
            service_load: ServiceLoad::default(),
            snapshot,
            control,
            peers,
            http,
            store,
            reports,
            burn,
        }
    }
}

async fn bind<N: Network>(
    net: &N,
    flag: &'static str,
    addr: SocketAddr,
) -> Result<N::Listener, OpenError> {
    net.bind(addr)
        .await
        .map_err(|source| OpenError::Bind { flag, addr, source })
}
