use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use azuresaddle_core::prelude::*;
use prometheus_client::metrics::counter::Counter;
use tokio::time::timeout;

use super::{HANG_TIME, WatchedThread, count_signs, watch};

/// Watches a thread whose signs of life the test gives.
fn watch_signs(signs: &Arc<AtomicU64>) -> (Counter, Spawner) {
    let (stalls, group) = (Counter::default(), Spawner::current());
    let signs = Arc::clone(signs);
    let watched = WatchedThread {
        name: "control",
        signs: move || signs.load(Ordering::Relaxed),
        stalls: stalls.clone(),
    };
    tokio::spawn(watch(watched, group.clone()));
    (stalls, group)
}

/// Guards against a thread that hangs without a trace.
#[tokio::test(start_paused = true)]
async fn a_thread_that_hangs_is_counted_once_for_each_time() {
    let signs = Arc::new(AtomicU64::new(0));
    let (stalls, group) = watch_signs(&signs);
    for stalled in 1..=2 {
        let running = tokio::spawn(count_signs(Arc::clone(&signs)));
        tokio::time::sleep(Duration::from_secs(5)).await;
        assert_eq!(stalls.get(), stalled - 1);
        running.abort();
        tokio::time::sleep(Duration::from_secs(5)).await;
        assert_eq!(stalls.get(), stalled);
    }
    let wait = Duration::from_secs(1);
    assert!(timeout(wait, group.failure()).await.is_err());
}

/// Guards against a node that goes on for ever beside a thread that has hung.
#[tokio::test(start_paused = true)]
async fn a_thread_that_stays_hung_is_a_failure() {
    let (_, group) = watch_signs(&Arc::default());
    let failure = timeout(HANG_TIME * 2, group.failure()).await.unwrap();
    assert_eq!((failure.task, failure.end), ("control", TaskEnd::Hung));
}
