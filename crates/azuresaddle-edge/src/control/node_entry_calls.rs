//! Makes the calls to the store for the node entries.

use std::net::Ipv4Addr;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_platform::{Lease, NodeKey, PlatformStore, StoreError};
use tokio::sync::mpsc;

use super::node_entries::NodeEntryCall;
use super::store_event::StoreEvent;

/// TTL of an entry: the longest that the store allows.
const ENTRY_TTL: Duration = Duration::from_secs(600);

/// Makes the calls until the channel is closed. What they change in the store comes back by the watch
/// of the store, and what they read as an event.
pub(super) async fn make_node_entry_calls<N: Network>(
    store: PlatformStore<N>,
    own: Ipv4Addr,
    mut rx: mpsc::Receiver<NodeEntryCall>,
    tx: mpsc::Sender<StoreEvent>,
) {
    let mut caller = NodeEntryCaller {
        store,
        key: NodeKey { ip: own },
        lease: None,
        tx,
    };
    while let Some(call) = rx.recv().await {
        if let Err(e) = caller.make(call).await {
            // Control retries as long as the entry is missing.
            tracing::info!(part = "control", error = %e, ?call, "node entry call failed");
        }
    }
}

struct NodeEntryCaller<N> {
    store: PlatformStore<N>,
    /// Key of this node's entry.
    key: NodeKey,
    /// Lease of this node's entry.
    lease: Option<Lease>,
    tx: mpsc::Sender<StoreEvent>,
}

impl<N: Network> NodeEntryCaller<N> {
    async fn make(&mut self, call: NodeEntryCall) -> Result<(), StoreError> {
        match call {
            NodeEntryCall::Read => self.read().await,
            NodeEntryCall::Write => self.write().await,
            NodeEntryCall::Renew => self.renew().await,
        }
    }

    async fn read(&self) -> Result<(), StoreError> {
        let items = self.store.read_nodes().await?;
        // The receiver lives as long as the sender of the calls.
        let _ = self.tx.send(StoreEvent::Nodes(items)).await;
        Ok(())
    }

    async fn write(&mut self) -> Result<(), StoreError> {
        let lease = self.store.grant_lease(ENTRY_TTL).await?;
        self.store.write_node(self.key, lease).await?;
        self.lease = Some(lease);
        tracing::info!(
            part = "control",
            key = self.key.encode(),
            "node entry written"
        );
        Ok(())
    }

    async fn renew(&mut self) -> Result<(), StoreError> {
        // After a rollback the store may grant the same lease number to another writer.
        let era = self.store.era();
        let lease = self.lease.filter(|l| Some(l.era) == era);
        match lease {
            Some(lease) => self.store.renew_lease(lease).await,
            None => Ok(()),
        }
    }
}
