//! Client connections to other nodes.

use std::collections::HashMap;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use azuresaddle_core::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::client::{self, Channel};
use tarpc::context;

use crate::error::RpcError;
use crate::transport::transport;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Keeps one connection to each other node.
///
/// A failed call closes the connection and the next call opens a new one, since a connection can
/// go silent while new ones work.
pub struct RpcClients<N, C, Req, Resp> {
    net: N,
    spawner: Spawner,
    channels: Arc<Mutex<HashMap<SocketAddr, Channel<Req, Resp>>>>,
    client: PhantomData<fn() -> C>,
}

impl<N: Clone, C, Req, Resp> Clone for RpcClients<N, C, Req, Resp> {
    fn clone(&self) -> Self {
        Self {
            net: self.net.clone(),
            spawner: self.spawner.clone(),
            channels: Arc::clone(&self.channels),
            client: PhantomData,
        }
    }
}

impl<N, C, Req, Resp> RpcClients<N, C, Req, Resp>
where
    N: Network,
    C: From<Channel<Req, Resp>>,
    Req: Serialize + tarpc::RequestName + Send + 'static,
    Resp: DeserializeOwned + Send + 'static,
{
    /// Creates a set of clients without connections.
    pub fn new(net: N, spawner: Spawner) -> Self {
        Self {
            net,
            spawner,
            channels: Arc::default(),
            client: PhantomData,
        }
    }

    /// Calls a node with a timeout; `call` gets the service's client `C`.
    ///
    /// # Errors
    /// Returns an error if no connection is made, the connection breaks or the call times out.
    pub async fn call<T, F>(
        &self,
        addr: SocketAddr,
        timeout: Duration,
        call: F,
    ) -> Result<T, RpcError>
    where
        F: AsyncFnOnce(C, context::Context) -> Result<T, client::RpcError>,
    {
        let channel = self.channel(addr, timeout).await?;
        let mut cx = context::current();
        // tarpc checks its deadline by the system clock. It is set later than the timeout below,
        // which uses the runtime's clock and therefore also works when a test pauses that clock.
        cx.deadline = Instant::now() + timeout * 2;
        match tokio::time::timeout(timeout, call(C::from(channel), cx)).await {
            Ok(Ok(value)) => Ok(value),
            Ok(Err(_)) => {
                self.drop_connection(addr);
                Err(RpcError::Broken)
            }
            Err(_) => {
                self.drop_connection(addr);
                Err(RpcError::Timeout)
            }
        }
    }

    /// Drops the connection to a node; calls in flight on it fail.
    pub fn drop_connection(&self, addr: SocketAddr) {
        self.lock().remove(&addr);
    }

    async fn channel(
        &self,
        addr: SocketAddr,
        timeout: Duration,
    ) -> Result<Channel<Req, Resp>, RpcError> {
        if let Some(channel) = self.lock().get(&addr) {
            return Ok(channel.clone());
        }
        let wait = CONNECT_TIMEOUT.min(timeout);
        let stream = tokio::time::timeout(wait, self.net.connect(addr))
            .await
            .map_err(|_| RpcError::Unreachable)?
            .map_err(|_| RpcError::Unreachable)?;
        let mut channels = self.lock();
        // Another call may have connected in the meantime.
        if let Some(channel) = channels.get(&addr) {
            return Ok(channel.clone());
        }
        let new = client::new(client::Config::default(), transport(stream));
        let dispatch = new.dispatch;
        self.spawner.spawn(async move {
            // Connection errors are also reported to the pending calls.
            let _ = dispatch.await;
        });
        channels.insert(addr, new.client.clone());
        Ok(new.client)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Channel<Req, Resp>>> {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
