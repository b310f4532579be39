//! Notices when one of the node's two threads does nothing.
//!
//! Each thread is watched from the other one: a node whose traffic hangs still sends heartbeats while it answers nobody, and
//! one whose control hangs still answers, from a configuration that may be old.

#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use azuresaddle_core::prelude::*;
use prometheus_client::metrics::counter::Counter;
use tokio::time::Instant;

use crate::metrics::Metrics;
use crate::snapshot::Snapshots;

/// Interval at which each thread shows that it runs, and checks the other one.
const INTERVAL: Duration = Duration::from_millis(250);

/// Time without a sign of life after which a thread counts as stalled. A loaded host runs it more often.
const STALL_TIME: Duration = Duration::from_millis(1000);

/// Time without a sign of life after which a thread counts as hung, so that the node has failed.
const HANG_TIME: Duration = Duration::from_secs(10);

/// A thread that is watched.
struct WatchedThread<F> {
    name: &'static str,
    /// Reads a number that changes as long as the thread runs.
    signs: F,
    /// Counts the times in which it stalled.
    stalls: Counter,
}

/// Starts to watch the threads of `traffic` and `control` from each other.
pub(crate) fn watch_threads(
    traffic: &Spawner,
    control: &Spawner,
    snapshots: &Snapshots,
    metrics: &Metrics,
) {
    let signs = Arc::new(AtomicU64::new(0));
    traffic.spawn_essential("traffic signs", count_signs(Arc::clone(&signs)));
    let watched = WatchedThread {
        name: "traffic",
        signs: move || signs.load(Ordering::Relaxed),
        stalls: metrics.traffic_stalls.clone(),
    };
    control.spawn_essential("traffic watch", watch(watched, control.clone()));
    let snapshots = snapshots.clone();
    let watched = WatchedThread {
        name: "control",
        signs: move || snapshots.progress().checks(),
        stalls: metrics.control_stalls.clone(),
    };
    traffic.spawn_essential("control watch", watch(watched, traffic.clone()));
}

/// Counts up as long as its thread runs.
async fn count_signs(signs: Arc<AtomicU64>) {
    loop {
        signs.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(INTERVAL).await;
    }
}

/// Logs and counts each time in which a thread shows no sign of life for too long, and reports one that has hung.
async fn watch<F: Fn() -> u64>(watched: WatchedThread<F>, group: Spawner) {
    let WatchedThread {
        name,
        signs,
        stalls,
    } = watched;
    let mut last = signs();
    let mut checked_at = Instant::now();
    let mut seen_at = checked_at;
    let mut is_stalled = false;
    loop {
        tokio::time::sleep(INTERVAL).await;
        let now = Instant::now();
        // If this thread was late itself, the whole process was suspended.
        if now - checked_at > STALL_TIME {
            seen_at = now;
        }
        checked_at = now;
        let count = signs();
        let stalled_ms = (now - seen_at).as_millis() as u64;
        if count != last {
            if is_stalled {
                tracing::warn!(part = "node", stalled_ms, "the {name} thread runs again");
            }
            (last, seen_at, is_stalled) = (count, now, false);
        } else if !is_stalled && now - seen_at >= STALL_TIME {
            is_stalled = true;
            stalls.inc();
            tracing::warn!(part = "node", stalled_ms, "the {name} thread runs nothing");
        } else if now - seen_at >= HANG_TIME {
            let end = TaskEnd::Hung;
            group.report_failure(TaskFailure { task: name, end });
        }
    }
}
