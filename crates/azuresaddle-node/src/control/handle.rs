//! Access to control for traffic and for other nodes.

use std::sync::Arc;

use azuresaddle_core::burn::{BurnCounts, BurnRecorder};
use azuresaddle_store::RulesRecord;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::command::Command;
use crate::peer::{Heartbeat, HeartbeatReply, Report, ReserveReply, ReserveRequest, TakeOver};
use crate::snapshot::SharedSnapshot;

/// Sends commands to control; cheap to clone.
#[derive(Clone)]
pub struct ControlHandle {
    tx: mpsc::Sender<Command>,
    snapshot: SharedSnapshot,
    burn: Arc<BurnRecorder>,
}

impl ControlHandle {
    /// A handle on a control task's queue.
    pub fn new(
        tx: mpsc::Sender<Command>,
        snapshot: SharedSnapshot,
        burn: Arc<BurnRecorder>,
    ) -> Self {
        Self { tx, snapshot, burn }
    }

    /// Asks for a reservation in an owned pool; waits a bounded time.
    pub async fn reserve(&self, req: ReserveRequest) -> ReserveReply {
        let (tx, rx) = oneshot::channel();
        self.send(Command::Reserve(Box::new(req), tx)).await;
        rx.await.unwrap_or(ReserveReply::NotOwner)
    }

    /// Asks for a placement without an owner.
    pub async fn fallback(&self, req: ReserveRequest) -> ReserveReply {
        let (tx, rx) = oneshot::channel();
        self.send(Command::Fallback(Box::new(req), tx)).await;
        rx.await.unwrap_or(ReserveReply::NotOwner)
    }

    /// Reports what happened to attempts.
    pub async fn report(&self, reports: Vec<Report>) {
        self.send(Command::Reports(reports)).await;
    }

    /// Tells that a node relays what another began.
    pub async fn take_over(&self, take_over: TakeOver) {
        self.send(Command::TakeOver(take_over)).await;
    }

    /// Answers a heartbeat.
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

    /// Service-level counts of this node.
    pub fn burn_counts(&self) -> BurnCounts {
        self.burn.counts(Instant::now())
    }

    /// Queues a command; waits while the queue is full.
    pub async fn send(&self, command: Command) {
        // A control task that has ended belongs to a process that is ending.
        let _ = self.tx.send(command).await;
    }
}
