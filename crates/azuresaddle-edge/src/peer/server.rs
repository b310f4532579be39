//! Server for calls from other nodes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use azuresaddle_core::prelude::*;
use azuresaddle_platform::StorePosition;
use azuresaddle_rpc::serve_rpc;
use azuresaddle_sched::passes::DEFAULT_PRIORITY;
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::Channel;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::Instant;

use super::messages::{
    PeerState, PeerUpdate, PermitReply, PermitRequest, PlaceMessage, PlaceReply, StreamReport,
    SyncMessage,
};
use super::reply_budget::ReplyBudget;
use super::service::EdgePeer;
use crate::control::TargetRecord;
use crate::placement::Owner;
use crate::snapshot::{Snapshot, Snapshots};

/// Accepts connections from other nodes until the spawner is killed.
pub(crate) fn serve_peers<L>(
    listener: L,
    spawner: &Spawner,
    owner: Arc<Owner>,
    snapshots: Snapshots,
    node: u64,
    link_bytes_per_s: f64,
) where
    L: Listener,
    L::Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let tasks = spawner.clone();
    let replies = ReplyBudget::new(Instant::now(), link_bytes_per_s);
    let replies = Arc::new(Mutex::new(replies));
    serve_rpc(listener, spawner, move |channel| {
        let server = PeerServer {
            owner: Arc::clone(&owner),
            snapshots: snapshots.clone(),
            node,
            replies: Arc::clone(&replies),
        };
        let requests = tasks.clone();
        tasks.spawn(async move {
            let mut execute = std::pin::pin!(channel.execute(server.serve()));
            while let Some(request) = execute.next().await {
                requests.spawn(request);
            }
        });
    });
}

/// Most bytes of target records in one message; the rest of the longest message is for a configuration.
const MAX_RECORD_BYTES: usize = 2_900_000;

#[derive(Clone)]
struct PeerServer {
    owner: Arc<Owner>,
    snapshots: Snapshots,
    /// Incarnation of this node.
    node: u64,
    /// Bandwidth of complete answers, shared by all connections.
    replies: Arc<Mutex<ReplyBudget>>,
}

impl PeerServer {
    /// Whether the bandwidth suffices for an answer with the configuration and all targets.
    fn may_send_all(&self, snapshot: &Snapshot) -> bool {
        let configuration = snapshot.raw_configuration.as_ref();
        let records = snapshot.target_records.iter().map(|r| r.size());
        let bytes = records.sum::<usize>() + configuration.map_or(0, |json| json.len());
        let mut replies = self.replies.lock().unwrap_or_else(PoisonError::into_inner);
        replies.accept(Instant::now(), bytes)
    }

    /// Address of the owner; `None` if that is this node or unknown.
    fn other_owner(&self) -> Option<SocketAddr> {
        let snapshot = self.snapshots.load();
        let owner = snapshot.node(snapshot.owner)?;
        (owner.incarnation != self.node).then_some(owner.peer_addr)
    }

    async fn place_or_redirect(&self, message: PlaceMessage, priority: u8) -> PlaceReply {
        // An owner that was replaced while it stalled would otherwise place streams for as long as nodes send it
        // requests, without knowledge of those that the new owner placed.
        match self.other_owner() {
            Some(peer) if !message.is_redirected => PlaceReply::Redirect { peer },
            _ => self.owner.place(message, priority).await,
        }
    }
}

impl EdgePeer for PeerServer {
    async fn place(self, _: Context, message: PlaceMessage) -> PlaceReply {
        self.place_or_redirect(message, DEFAULT_PRIORITY).await
    }

    async fn permit(self, _: Context, req: PermitRequest) -> PermitReply {
        self.owner.permit(&req)
    }

    async fn report(self, _: Context, reports: Vec<StreamReport>) {
        self.owner.report(reports);
    }

    async fn sync(self, _: Context, sync: SyncMessage) {
        self.owner.sync(&sync);
    }

    async fn updates(
        self,
        _: Context,
        configuration: u64,
        targets: Option<StorePosition>,
    ) -> PeerUpdate {
        update_since(&self.snapshots.load(), configuration, targets)
    }

    async fn state_since(
        self,
        _: Context,
        configuration: u64,
        targets: Option<StorePosition>,
    ) -> Option<PeerState> {
        let snapshot = self.snapshots.load();
        if targets.is_none() && !self.may_send_all(&snapshot) {
            return None;
        }
        let drains = snapshot.domain_drains.iter();
        let drains = drains.filter(|d| targets.is_none_or(|after| d.position > after));
        Some(PeerState {
            update: update_since(&snapshot, configuration, targets),
            domain_drains: drains.cloned().collect(),
        })
    }

    async fn place_ranked(self, _: Context, message: PlaceMessage, priority: u8) -> PlaceReply {
        self.place_or_redirect(message, priority).await
    }
}

fn update_since(
    snapshot: &Snapshot,
    configuration: u64,
    targets: Option<StorePosition>,
) -> PeerUpdate {
    let version = snapshot.configuration.as_ref().map_or(0, |c| c.version.0);
    let newer = version > configuration;
    let records = snapshot.target_records.iter();
    let records = records.filter(|r| targets.is_none_or(|after| r.position() > after));
    let records: Vec<&Arc<TargetRecord>> = records.collect();
    let fits = records.iter().map(|r| r.size()).sum::<usize>() <= MAX_RECORD_BYTES;
    // The configuration arrives even if there are too many records for one message.
    let (records, position) = if fits {
        (records, snapshot.target_position)
    } else {
        (Vec::new(), targets.unwrap_or_default())
    };
    let records = records.into_iter();
    PeerUpdate {
        configuration: snapshot
            .raw_configuration
            .as_deref()
            .filter(|_| newer)
            .cloned(),
        position,
        targets: records.map(|r| r.to_update()).collect(),
    }
}
