//! Connections to other nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use azuresaddle_core::prelude::*;
use tarpc::client;
use tarpc::context;
use tarpc::tokio_serde::formats::Bincode;
use thiserror::Error;
use tokio_util::codec::LengthDelimitedCodec;

use super::server::MAX_FRAME_BYTES;
use super::service::PeerClient;

/// Longest wait for a connection to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A call to another node failed; whether it took effect is unknown.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PeerError {
    /// No connection was made.
    #[error("node unreachable")]
    Unreachable,
    /// No answer came in time.
    #[error("no answer from the node")]
    NoAnswer,
}

/// Keeps one connection to each other node, and opens a new one after every failure, since a
/// connection can go silent while new ones work.
#[derive(Clone)]
pub struct PeerClients<N> {
    net: N,
    spawner: Spawner,
    clients: Arc<Mutex<HashMap<SocketAddr, PeerClient>>>,
}

impl<N: Network> PeerClients<N> {
    /// No connections yet.
    pub fn new(net: N, spawner: Spawner) -> Self {
        Self {
            net,
            spawner,
            clients: Arc::default(),
        }
    }

    /// Makes a call with a timeout.
    ///
    /// # Errors
    /// Where no connection is made or no answer comes in time.
    pub async fn call<T, F>(
        &self,
        addr: SocketAddr,
        timeout: Duration,
        call: F,
    ) -> Result<T, PeerError>
    where
        F: AsyncFnOnce(PeerClient, context::Context) -> Result<T, client::RpcError>,
    {
        let client = self.client(addr).await?;
        let mut cx = context::current();
        // tarpc keeps its own deadline by the system's clock; the runtime's clock decides here.
        cx.deadline = Instant::now() + timeout * 2;
        match tokio::time::timeout(timeout, call(client, cx)).await {
            Ok(Ok(value)) => Ok(value),
            _ => {
                self.forget(addr);
                Err(PeerError::NoAnswer)
            }
        }
    }

    async fn client(&self, addr: SocketAddr) -> Result<PeerClient, PeerError> {
        if let Some(client) = self.lock().get(&addr) {
            return Ok(client.clone());
        }
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, self.net.connect(addr))
            .await
            .map_err(|_| PeerError::Unreachable)?
            .map_err(|_| PeerError::Unreachable)?;
        let mut codec = LengthDelimitedCodec::new();
        codec.set_max_frame_length(MAX_FRAME_BYTES);
        let framed = tokio_util::codec::Framed::new(stream, codec);
        let transport = tarpc::serde_transport::new(framed, Bincode::default());
        let new = PeerClient::new(client::Config::default(), transport);
        let dispatch = new.dispatch;
        self.spawner.spawn(async move {
            // A broken connection shows up at the callers.
            let _ = dispatch.await;
        });
        self.lock().insert(addr, new.client.clone());
        Ok(new.client)
    }

    fn forget(&self, addr: SocketAddr) {
        self.lock().remove(&addr);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, PeerClient>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
