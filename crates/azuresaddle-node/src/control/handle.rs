//! Handle for sending commands to the control task.

use std::sync::Arc;

use azuresaddle_core::burn::{BurnCounts, BurnRecorder};
use azuresaddle_store::RulesRecord;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::command::Command;
use crate::peer::{Heartbeat, HeartbeatReply, Report, ReserveReply, ReserveRequest, TakeOver};
use crate::snapshot::SharedSnapshot;

/// Sends commands to the control task; cheap to clone.
#[derive(Clone)]
pub struct ControlHandle {
    tx: mpsc::Sender<Command>,
    snapshot: SharedSnapshot,
    burn: Arc<BurnRecorder>,
}

impl ControlHandle {
    /// Creates a handle on the queue of a control task.
    pub fn new(
        tx: mpsc::Sender<Command>,
        snapshot: SharedSnapshot,
        burn: Arc<BurnRecorder>,
    ) -> Self {
        Self { tx, snapshot, burn }
    }

    /// Requests a reservation in a pool that this node owns.
    ///
    /// Returns [`ReserveReply::Pending`] if there is no decision within a bounded time.
    pub async fn reserve(&self, req: ReserveRequest) -> ReserveReply {
        let (tx, rx) = oneshot::channel();
        self.send(Command::Reserve(Box::new(req), tx)).await;
        rx.await.unwrap_or(ReserveReply::NotOwner)
    }

    /// Requests a placement for a pool without a reachable owner.
    pub async fn fallback(&self, req: ReserveRequest) -> ReserveReply {
        let (tx, rx) = oneshot::channel();
        self.send(Command::Fallback(Box::new(req), tx)).await;
        rx.await.unwrap_or(ReserveReply::NotOwner)
    }

    /// Reports events of attempts.
    pub async fn report(&self, reports: Vec<Report>) {
        self.send(Command::Reports(reports)).await;
    }

    /// Reports that a node now relays an answer that another node started.
    pub async fn take_over(&self, take_over: TakeOver) {
        self.send(Command::TakeOver(take_over)).await;
    }

    /// Processes a heartbeat of another node and returns the reply.
    pub async fn heartbeat(&self, heartbeat: Heartbeat) -> HeartbeatReply {
        let (tx, rx) = oneshot::channel();
        self.send(Command::Heartbeat(heartbeat, tx)).await;
        rx.await.unwrap_or(HeartbeatReply {
            rules: self.snapshot.load().rules.version,
            store_reachable: false,
            stopping: true,
            digests: Vec::new(),
        })
    }

    /// The rules in force, as JSON.
    pub fn rules_json(&self) -> String {
        let rules: &RulesRecord = &self.snapshot.load().rules;
        serde_json::to_string(rules).expect("a record serializes")
    }

    /// Counts for the service-level objectives on this node.
    pub fn burn_counts(&self) -> BurnCounts {
        self.burn.counts(Instant::now())
    }

    /// Queues a command; waits while the queue is full.
    pub async fn send(&self, command: Command) {
        // Fails only while the process is ending, as the control task runs until then.
        let _ = self.tx.send(command).await;
    }
}
