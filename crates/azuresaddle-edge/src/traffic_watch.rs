//! Notices when the thread for traffic runs nothing.
//!
//! Control has a thread of its own, so a node whose thread for traffic hangs still sends heartbeats, while it answers nobody.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use crate::metrics::Metrics;

/// Interval at which each thread shows, or checks, that the thread for traffic runs.
const INTERVAL: Duration = Duration::from_millis(250);

/// Time without a sign of life after which the thread counts as stalled. A loaded host runs it more often.
const STALL_TIME: Duration = Duration::from_millis(1000);

/// Starts to watch the thread of `traffic` from that of `control`.
pub(crate) fn watch_traffic(traffic: &Spawner, control: &Spawner, metrics: Metrics) {
    let signs = Arc::new(AtomicU64::new(0));
    traffic.spawn(count_signs(Arc::clone(&signs)));
    control.spawn(watch_signs(signs, metrics));
}

/// Counts up as long as its thread runs.
async fn count_signs(signs: Arc<AtomicU64>) {
    loop {
        signs.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(INTERVAL).await;
    }
}

/// Logs and counts each time in which `signs` stays the same for too long.
async fn watch_signs(signs: Arc<AtomicU64>, metrics: Metrics) {
    let mut last = signs.load(Ordering::Relaxed);
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
        let count = signs.load(Ordering::Relaxed);
        let stalled_ms = (now - seen_at).as_millis() as u64;
        if count != last {
            if is_stalled {
                tracing::warn!(part = "node", stalled_ms, "the traffic thread runs again");
            }
            (last, seen_at, is_stalled) = (count, now, false);
        } else if !is_stalled && now - seen_at >= STALL_TIME {
            is_stalled = true;
            metrics.traffic_stalls.inc();
            tracing::warn!(part = "node", stalled_ms, "the traffic thread runs nothing");
        }
    }
}

#[cfg(test)]
mod tests;
