//! Pool of connections to targets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azuresaddle_core::byte_budget::HeldBytes;
use azuresaddle_core::http::RequestSender;
use azuresaddle_core::prelude::*;
use http_body_util::Full;
use hyper::client::conn::http1;
use thiserror::Error;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::dialer::TargetDialer;
use super::target_stream::TargetStream;
use crate::flow::{MeteredStream, WriteProgress};

/// Time for which an idle connection is kept if the target announces no keep-alive time.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(800);

/// Time before the end of the announced keep-alive time at which a connection is no longer used, so that a request
/// does not meet the target's close.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);

/// Part of a target's connections that all nodes together may use. The rest is a reserve for nodes that
/// don't know of each other yet.
const CONNECTION_SHARE: f64 = 0.8;

/// Connections to a target that each node may open, however small its share is.
const MIN_CONNECTIONS: usize = 2;

/// Longest head of an answer, in bytes; several times what targets send. It bounds what a connection buffers.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// No connection to a target is available. Nothing was sent.
#[derive(Debug, Error)]
pub(crate) enum ConnectError {
    /// The node's share of the target's connections is in use.
    #[error("all connections to the target are in use")]
    Limit,
    /// The target did not accept the connection, and other nodes got no connection either if there are any.
    #[error("connect failed: {0}")]
    Refused(#[source] std::io::Error),
    /// This node got no connection, and no other node is known to reach the target. It may be the path that is lost.
    #[error("no path to the target")]
    NoPath,
    /// The target did not answer within the connect timeout.
    #[error("connect timed out")]
    Timeout,
    /// The connection broke during the HTTP handshake.
    #[error("connection broke: {0}")]
    Broken(#[source] hyper::Error),
}

/// Connections to all targets, within this node's share of each target's limit.
pub(crate) struct ConnectionPool<N> {
    dialer: TargetDialer<N>,
    spawner: Spawner,
    targets: Arc<Mutex<HashMap<HostName, TargetConnections>>>,
}

/// Connections to one target.
#[derive(Default)]
struct TargetConnections {
    idle: Vec<IdleConnection>,
    /// Connections that are open, idle ones included.
    open: usize,
}

struct IdleConnection {
    /// The node through which the connection goes, unless it is direct.
    peer: Option<u64>,
    tx: RequestSender<Full<HeldBytes>>,
    progress: WriteProgress,
    task: AbortHandle,
    expires_at: Instant,
}

impl Drop for IdleConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl<N: Network> ConnectionPool<N> {
    pub(crate) fn new(dialer: TargetDialer<N>, spawner: Spawner) -> Self {
        Self {
            dialer,
            spawner,
            targets: Arc::default(),
        }
    }

    /// Share of a target's connections that one of `nodes` nodes may use.
    pub(crate) fn share(max_connections: u32, nodes: usize) -> usize {
        let share = f64::from(max_connections) * CONNECTION_SHARE / nodes.max(1) as f64;
        (share as usize).max(MIN_CONNECTIONS)
    }

    /// Returns an idle connection or opens a new one.
    ///
    /// # Errors
    /// If there is none; nothing was sent.
    pub(crate) async fn checkout(
        &self,
        target: &HostName,
        addr: SocketAddr,
        share: usize,
    ) -> Result<Connection, ConnectError> {
        match self.take_idle_or_slot(target, share)? {
            Checkout::Idle(connection) => Ok(*connection),
            Checkout::New(slot) => self.open(slot, addr).await,
        }
    }

    /// Opens a new connection, even if there are idle ones.
    ///
    /// # Errors
    /// As [`Self::checkout`].
    pub(crate) async fn checkout_new(
        &self,
        target: &HostName,
        addr: SocketAddr,
        share: usize,
    ) -> Result<Connection, ConnectError> {
        let slot = self.take_slot(lock(&self.targets), target, share)?;
        self.open(slot, addr).await
    }

    /// Opens a connection. The attempt goes on if the caller stops waiting, since its outcome shows whether the path to
    /// the target is lost; the connection is then kept.
    async fn open(
        &self,
        slot: ConnectionSlot,
        addr: SocketAddr,
    ) -> Result<Connection, ConnectError> {
        let (tx, rx) = oneshot::channel();
        let (dialer, spawner) = (self.dialer.clone(), self.spawner.clone());
        let targets = Arc::clone(&self.targets);
        self.spawner.spawn(async move {
            let opened = open(&dialer, &spawner, &targets, slot, addr).await;
            if let Err(Ok(connection)) = tx.send(opened) {
                connection.return_to_pool(None);
            }
        });
        rx.await.unwrap_or(Err(ConnectError::Timeout))
    }

    fn take_idle_or_slot(&self, target: &HostName, share: usize) -> Result<Checkout, ConnectError> {
        let now = Instant::now();
        let mut targets = lock(&self.targets);
        let connections = targets.entry(target.clone()).or_default();
        let before = connections.idle.len();
        let may_reuse = |peer: u64| self.dialer.may_reuse_tunnel(target, peer);
        connections
            .idle
            .retain(|i| !i.tx.is_closed() && i.expires_at > now && i.peer.is_none_or(may_reuse));
        connections.open -= before - connections.idle.len();
        // The most recently used connection is the least likely to have been closed.
        if let Some(at) = connections.idle.iter().rposition(|i| i.tx.is_ready()) {
            return Ok(Checkout::Idle(Box::new(Connection {
                idle: Some(connections.idle.remove(at)),
                slot: self.slot(target),
            })));
        }
        self.take_slot(targets, target, share).map(Checkout::New)
    }

    /// Counts one more connection to a target.
    fn take_slot(
        &self,
        mut targets: MutexGuard<'_, HashMap<HostName, TargetConnections>>,
        target: &HostName,
        share: usize,
    ) -> Result<ConnectionSlot, ConnectError> {
        let connections = targets.entry(target.clone()).or_default();
        if connections.open >= share {
            return Err(ConnectError::Limit);
        }
        connections.open += 1;
        Ok(self.slot(target))
    }

    fn slot(&self, target: &HostName) -> ConnectionSlot {
        ConnectionSlot {
            targets: Arc::clone(&self.targets),
            target: target.clone(),
        }
    }

    /// Closes the idle connections to a target. Used when one of them stopped answering.
    pub(crate) fn drop_idle(&self, target: &HostName) {
        drop_idle(&self.targets, target, |_| true);
    }

    /// Closes the idle connections through nodes for which `keep` returns `false`.
    pub(crate) fn retain_tunnels(&self, keep: impl Fn(u64) -> bool) {
        for connections in lock(&self.targets).values_mut() {
            let before = connections.idle.len();
            connections.idle.retain(|i| i.peer.is_none_or(&keep));
            connections.open -= before - connections.idle.len();
        }
    }

    /// Closes the idle connections to targets for which `keep` returns `false`, and removes those that have no connection
    /// in use.
    pub(crate) fn retain(&self, keep: impl Fn(&HostName) -> bool) {
        lock(&self.targets).retain(|target, connections| {
            if !keep(target) {
                connections.open -= connections.idle.len();
                connections.idle.clear();
            }
            keep(target) || connections.open > 0
        });
    }
}

/// An idle connection, or the slot for a new one.
enum Checkout {
    Idle(Box<Connection>),
    New(ConnectionSlot),
}

/// Counts one connection against a target's share until it is dropped.
struct ConnectionSlot {
    targets: Arc<Mutex<HashMap<HostName, TargetConnections>>>,
    target: HostName,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        if let Some(connections) = lock(&self.targets).get_mut(&self.target) {
            connections.open = connections.open.saturating_sub(1);
        }
    }
}

/// A connection for one request; closed on drop unless it is returned to the pool.
pub(crate) struct Connection {
    idle: Option<IdleConnection>,
    slot: ConnectionSlot,
}

impl Connection {
    /// The sender of the request.
    pub(crate) fn sender(&mut self) -> &mut RequestSender<Full<HeldBytes>> {
        &mut self
            .idle
            .as_mut()
            .expect("present until returned to the pool")
            .tx
    }

    /// How much of what is written to the connection the target has taken.
    pub(crate) fn progress(&self) -> &WriteProgress {
        &self
            .idle
            .as_ref()
            .expect("present until returned to the pool")
            .progress
    }

    /// Returns the connection to the pool, for the keep-alive time that the target announced.
    pub(crate) fn return_to_pool(mut self, keep_alive: Option<Duration>) {
        let Some(mut idle) = self.idle.take() else {
            return;
        };
        let keep = match keep_alive {
            Some(announced) => announced
                .saturating_sub(KEEP_ALIVE_MARGIN)
                .max(announced / 2),
            None => DEFAULT_KEEP_ALIVE,
        };
        idle.expires_at = Instant::now() + keep;
        let mut targets = lock(&self.slot.targets);
        if let Some(connections) = targets.get_mut(&self.slot.target) {
            connections.idle.push(idle);
            // Dropping the slot below subtracts one.
            connections.open += 1;
        }
    }
}

async fn open<N: Network>(
    dialer: &TargetDialer<N>,
    spawner: &Spawner,
    targets: &Mutex<HashMap<HostName, TargetConnections>>,
    slot: ConnectionSlot,
    addr: SocketAddr,
) -> Result<Connection, ConnectError> {
    let TargetStream { stream, peer } = dialer.dial(&slot.target, addr).await?;
    if peer.is_some() {
        // Kept direct connections may have fallen silent with the path.
        drop_idle(targets, &slot.target, |i| i.peer.is_none());
    }
    let progress = WriteProgress::default();
    let stream = MeteredStream::new(stream, progress.clone());
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES);
    let opened = RequestSender::open(&builder, stream).await;
    let (tx, conn) = opened.map_err(ConnectError::Broken)?;
    let task = spawner.spawn_abortable(async move {
        // The sender and the body report a broken connection.
        let _ = conn.await;
    });
    Ok(Connection {
        idle: Some(IdleConnection {
            peer,
            tx,
            progress,
            task,
            expires_at: Instant::now(),
        }),
        slot,
    })
}

/// Closes the idle connections to a target for which `is_dropped` returns `true`.
fn drop_idle(
    targets: &Mutex<HashMap<HostName, TargetConnections>>,
    target: &HostName,
    is_dropped: impl Fn(&IdleConnection) -> bool,
) {
    if let Some(connections) = lock(targets).get_mut(target) {
        let before = connections.idle.len();
        connections.idle.retain(|i| !is_dropped(i));
        connections.open -= before - connections.idle.len();
    }
}

fn lock(
    targets: &Mutex<HashMap<HostName, TargetConnections>>,
) -> MutexGuard<'_, HashMap<HostName, TargetConnections>> {
    targets.lock().unwrap_or_else(PoisonError::into_inner)
}
