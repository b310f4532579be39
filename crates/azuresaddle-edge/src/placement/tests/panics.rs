//! Panics while the pools are locked.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::passes::PassOptions;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::metrics::Metrics;
use crate::placement::Owner;
use crate::snapshot::{Snapshot, Snapshots};

/// Guards against an owner that goes on with pools that a panic of one call has left half changed.
#[tokio::test(start_paused = true)]
async fn a_panic_of_a_call_that_changes_the_pools_is_a_failure() {
    let (spawner, snapshots) = (Spawner::current(), Snapshots::new(Snapshot::empty()));
    let (probes, _probes) = mpsc::channel(1);
    let options = PassOptions::default();
    let owner = Owner::spawn(&spawner, &snapshots, 1, options, probes, &Metrics::new());
    let called = Arc::clone(&owner);
    let call = tokio::spawn(async move {
        let _state = called.lock();
        panic!("expected by the test");
    });
    assert!(call.await.is_err());
    drop(owner.lock());
    let failure = timeout(Duration::from_secs(1), spawner.failure()).await;
    assert!(failure.is_ok());
}
