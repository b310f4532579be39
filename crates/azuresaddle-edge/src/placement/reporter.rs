//! Sends reports to the owner, in batches.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_rpc::RpcError;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior};

use super::client::PlacementClient;
use crate::peer::{StreamReport, SyncMessage};

/// Most reports in one message.
const MAX_BATCH: usize = 256;

/// Time that reports are gathered; a fraction of a pass.
const BATCH_DELAY: Duration = Duration::from_millis(3);

/// Longest wait for the owner to take a message: a hundred times the usual way there and back, and the
/// time to the first event of a short prompt. After it this node says that the owner is silent.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between two complete listings to the owner; they also find a dead connection.
const SYNC_INTERVAL: Duration = Duration::from_millis(700);

/// Sends all streams at every change of owner and from time to time. It has a task of its own, so
/// that a new owner does not wait while reports to the old one time out.
pub(super) async fn run_sync<N: Network>(placement: Arc<PlacementClient<N>>) {
    let mut owner = placement.snapshots().subscribe_owner();
    let mut sync = tokio::time::interval_at(Instant::now() + SYNC_INTERVAL, SYNC_INTERVAL);
    sync.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = owner.changed() => {}
            _ = sync.tick() => {}
        }
        // Anew where the owner changes while the last one does not answer.
        while is_interrupted_by_owner_change(&mut owner, send_sync(&placement)).await {}
    }
}

async fn is_interrupted_by_owner_change(
    owner: &mut watch::Receiver<u64>,
    sending: impl Future<Output = ()>,
) -> bool {
    tokio::select! {
        () = sending => false,
        changed = owner.changed() => changed.is_ok(),
    }
}

/// Sends reports, gathered for a moment.
pub(super) async fn run_reporter<N: Network>(
    placement: Arc<PlacementClient<N>>,
    mut reports: mpsc::Receiver<StreamReport>,
) {
    while let Some(first) = reports.recv().await {
        let mut batch = vec![first];
        tokio::time::sleep(BATCH_DELAY).await;
        while batch.len() < MAX_BATCH
            && let Ok(report) = reports.try_recv()
        {
            batch.push(report);
        }
        send_to_owner(&placement, Message::Reports(batch)).await;
    }
}

/// Something for the owner.
#[derive(Clone)]
enum Message {
    Sync(SyncMessage),
    Reports(Vec<StreamReport>),
}

async fn send_sync<N: Network>(placement: &PlacementClient<N>) {
    let message = Message::Sync(placement.sync_message());
    send_to_owner(placement, message).await;
}

/// Gives a message to the owner. One that is lost is made up by the next listing.
async fn send_to_owner<N: Network>(placement: &PlacementClient<N>, message: Message) {
    if placement.is_owner() {
        match message {
            Message::Sync(sync) => placement.local_owner().sync(&sync),
            Message::Reports(reports) => placement.local_owner().report(reports),
        }
        return;
    }
    let Some((owner, peer)) = owner_addr(placement) else {
        return;
    };
    let mut sent = send(placement, peer, &message).await;
    if sent == Err(RpcError::Broken) {
        // A connection that was reset says nothing of the owner: a switch that reset two thousand of them
        // made 100 nodes leave an owner that was well.
        sent = send(placement, peer, &message).await;
    }
    if let Err(e) = sent {
        tracing::info!(part = "placement", %peer, error = %e, "owner not reached");
        placement.on_unresponsive_owner(owner);
    }
}

async fn send<N: Network>(
    placement: &PlacementClient<N>,
    peer: SocketAddr,
    message: &Message,
) -> Result<(), RpcError> {
    placement
        .peers()
        .call(peer, MESSAGE_TIMEOUT, async |client, cx| {
            match message.clone() {
                Message::Sync(sync) => client.sync(cx, sync).await,
                Message::Reports(reports) => client.report(cx, reports).await,
            }
        })
        .await
}

fn owner_addr<N: Network>(placement: &PlacementClient<N>) -> Option<(u64, SocketAddr)> {
    let snapshot = placement.snapshots().load();
    let node = snapshot.node(snapshot.owner)?;
    Some((node.incarnation, node.peer_addr))
}
