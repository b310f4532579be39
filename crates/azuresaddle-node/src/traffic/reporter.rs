//! Sends reports about streams to the owners of pools, in batches.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use tokio::sync::mpsc;

use crate::control::ControlHandle;
use crate::peer::{PeerClient, PeerClients, Report};
use crate::snapshot::SharedSnapshot;

/// Maximum number of queued reports.
const MAX_QUEUED_REPORTS: usize = 16_384;

/// Maximum number of reports taken from the queue at once, and so in one message.
const MAX_BATCH: usize = 512;

/// Maximum wait for an owner's answer to a batch.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of attempts to deliver a batch; after that the owner learns of ended streams from
/// heartbeats, which no longer claim them.
const MAX_ATTEMPTS: u32 = 4;

/// Delay between attempts.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Queues reports for delivery; cheap to clone.
#[derive(Clone, Debug)]
pub struct ReportSender {
    tx: mpsc::Sender<Report>,
}

impl ReportSender {
    /// Queues a report, or drops it if the queue is full: the owner then learns that the stream has
    /// ended from heartbeats, which no longer claim it.
    pub fn send(&self, report: Report) {
        if self.tx.try_send(report).is_err() {
            tracing::warn!("traffic: report queue is full; report dropped");
        }
    }
}

/// Spawns the task that delivers reports.
pub fn spawn_reporter<N: Network>(
    own_name: HostName,
    snapshot: SharedSnapshot,
    control: ControlHandle,
    peers: PeerClients<N>,
    spawner: &Spawner,
) -> ReportSender {
    let (tx, mut rx) = mpsc::channel::<Report>(MAX_QUEUED_REPORTS);
    let tasks = spawner.clone();
    let reporter = Arc::new(Reporter {
        own_name,
        snapshot,
        control,
        peers,
    });
    spawner.spawn_essential("reporter", async move {
        let mut batch = Vec::new();
        while rx.recv_many(&mut batch, MAX_BATCH).await > 0 {
            let mut by_pool: HashMap<PoolId, Vec<Report>> = HashMap::new();
            for report in batch.drain(..) {
                by_pool.entry(report.pool.clone()).or_default().push(report);
            }
            for (pool, reports) in by_pool {
                // A separate task per pool, so that an unresponsive owner does not delay reports to
                // others.
                let reporter = Arc::clone(&reporter);
                tasks.spawn(async move { reporter.deliver(&pool, reports).await });
            }
        }
    });
    ReportSender { tx }
}

struct Reporter<N> {
    own_name: HostName,
    snapshot: SharedSnapshot,
    control: ControlHandle,
    peers: PeerClients<N>,
}

impl<N: Network> Reporter<N> {
    async fn deliver(&self, pool: &PoolId, reports: Vec<Report>) {
        // Placements that were made without an owner are kept by this node's control task.
        self.control.report(reports.clone()).await;
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            let Some(owner) = self.snapshot.load().owners.get(pool).cloned() else {
                continue;
            };
            if owner.owner == self.own_name {
                return;
            }
            let batch = reports.clone();
            let call = async |client: PeerClient, cx| client.report(cx, batch).await;
            if self
                .peers
                .call(owner.peer_addr, REPORT_TIMEOUT, call)
                .await
                .is_ok()
            {
                return;
            }
        }
    }
}
