//! Sends reports and complete syncs of this node's streams to the owner.

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

/// Time for which reports are collected into a batch; a fraction of a pass.
const BATCH_DELAY: Duration = Duration::from_millis(3);

/// Longest wait for the owner to accept a message: a hundred typical round trips, and the time to the first
/// event of a short prompt. After it the owner is reported as unresponsive.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between two complete syncs to the owner, which also detect a dead connection.
const SYNC_INTERVAL: Duration = Duration::from_millis(700);

/// Sends all streams to the owner at every change of owner and at regular intervals. Runs in a separate task, so
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
        // Sends again if the owner changes while the previous one does not answer.
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

/// Sends reports to the owner in batches.
pub(super) async fn run_reporter<N: Network>(
    placement: Arc<PlacementClient<N>>,
    mut reports: mpsc::Receiver<StreamReport>,
) {
    let mut owner = placement.snapshots().subscribe_owner();
    while let Some(first) = reports.recv().await {
        let mut batch = vec![first];
        tokio::time::sleep(BATCH_DELAY).await;
        while batch.len() < MAX_BATCH
            && let Ok(report) = reports.try_recv()
        {
            batch.push(report);
        }
        owner.mark_unchanged();
        let message = Message::Reports(batch);
        // Sends again if the owner changes while the previous one does not answer.
        while is_interrupted_by_owner_change(&mut owner, send_to_owner(&placement, message.clone()))
            .await
        {}
    }
}

/// A message to the owner.
#[derive(Clone)]
enum Message {
    Sync(SyncMessage),
    Reports(Vec<StreamReport>),
}

async fn send_sync<N: Network>(placement: &PlacementClient<N>) {
    let message = Message::Sync(placement.sync_message());
    send_to_owner(placement, message).await;
}

/// Sends a message to the owner. The next complete sync makes up for a lost one.
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
        // A reset connection does not mean that the owner failed, so try again once: when a switch reset two thousand
        // connections, 100 nodes abandoned a healthy owner.
        sent = send(placement, peer, &message).await;
    }
    match sent {
        Ok(()) => placement.on_owner_answer(),
        Err(e) => {
            tracing::info!(part = "placement", %peer, error = %e, "can't reach the owner");
            placement.on_unresponsive_owner(owner);
        }
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
