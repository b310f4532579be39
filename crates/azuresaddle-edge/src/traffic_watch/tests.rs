use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use super::{count_signs, watch_signs};
use crate::metrics::Metrics;

fn stalls(metrics: &Metrics) -> u64 {
    metrics.traffic_stalls.get()
}

/// Guards against a thread for traffic that hangs without a trace.
#[tokio::test(start_paused = true)]
async fn a_thread_that_hangs_is_counted_once_for_each_time() {
    let signs = Arc::new(AtomicU64::new(0));
    let metrics = Metrics::new();
    tokio::spawn(watch_signs(Arc::clone(&signs), metrics.clone()));
    for stalled in 1..=2 {
        let running = tokio::spawn(count_signs(Arc::clone(&signs)));
        tokio::time::sleep(Duration::from_secs(5)).await;
        assert_eq!(stalls(&metrics), stalled - 1);
        running.abort();
        tokio::time::sleep(Duration::from_secs(5)).await;
        assert_eq!(stalls(&metrics), stalled);
    }
}
