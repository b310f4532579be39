//! The rate of calls that idle nodes make to the store.

use std::time::Duration;

use azuresaddle_standin::cluster::{Cluster, ClusterSpec, MemoryHosts};
use azuresaddle_standin::engine::EngineOptions;

/// Guards against a busy loop: a watch that returned immediately on an empty store made nodes call it without a pause.
#[tokio::test(start_paused = true)]
async fn an_idle_node_makes_about_one_store_call_per_second() {
    let spec = ClusterSpec::uniform(3, 2, 0, &EngineOptions::default());
    let cluster = Cluster::open(MemoryHosts::default(), spec, |_| {})
        .await
        .expect("it starts");
    tokio::time::sleep(Duration::from_secs(10)).await;
    let before = cluster.store.counts();
    tokio::time::sleep(Duration::from_secs(60)).await;
    let after = cluster.store.counts();
    assert!(
        after.watches - before.watches <= 3 * 60 / 2,
        "{before:?} {after:?}"
    );
    assert!(
        after.lease_writes - before.lease_writes <= 3 * 60 / 2 + 15,
        "{before:?} {after:?}"
    );
    assert_eq!(after.writes, before.writes);
    assert_eq!(after.reads, before.reads);
}
