//! Tests of the outcomes that traffic passes to control.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::deployment::{TargetEntry, TargetStart};
use azuresaddle_sched::target_health::SendOutcome;
use tokio::time::timeout;

use super::health::target;
use crate::targets::SendObservations;

async fn is_woken(observations: &SendObservations) -> bool {
    let woken = timeout(Duration::from_millis(1), observations.woken());
    woken.await.is_ok()
}

/// Guards against counts that are lost, or memory that grows, while control falls behind traffic.
#[tokio::test(start_paused = true)]
async fn outcomes_that_control_has_not_taken_are_merged() {
    let observations = SendObservations::new(true);
    let a = target("a");
    for _ in 0..1000 {
        observations.record(&a, SendOutcome::Answered);
    }
    observations.record(&a, SendOutcome::NoAnswer);
    let taken = observations.take();
    assert_eq!(taken.len(), 1);
    assert_eq!(taken[0].counts.sends, 1001);
    assert_eq!(taken[0].counts.no_answer, 1);
    assert!(observations.take().is_empty());
}

/// Guards against failures that wait for the next tick, and against waking control for each answer.
#[tokio::test(start_paused = true)]
async fn control_is_woken_by_a_first_failure_only() {
    let observations = SendObservations::new(true);
    let a = target("a");
    observations.record(&a, SendOutcome::Answered);
    observations.record(&a, SendOutcome::Refused);
    assert!(!is_woken(&observations).await);
    observations.record(&a, SendOutcome::NoConnection);
    assert!(is_woken(&observations).await);
    observations.record(&a, SendOutcome::NoConnection);
    assert!(!is_woken(&observations).await);
}

/// Guards against outcomes of an earlier start that count against a restarted target.
#[tokio::test(start_paused = true)]
async fn a_later_start_replaces_the_outcomes_of_an_earlier_one() {
    let observations = SendObservations::new(true);
    let earlier = target("a");
    let later = Arc::new(TargetEntry {
        started: TargetStart(2000),
        ..(*earlier).clone()
    });
    observations.record(&earlier, SendOutcome::NoConnection);
    observations.record(&later, SendOutcome::Answered);
    observations.record(&earlier, SendOutcome::NoConnection);
    let taken = observations.take();
    assert_eq!(taken[0].started, TargetStart(2000));
    assert_eq!(taken[0].counts.sends, 1);
    assert_eq!(taken[0].counts.failures(), 0);
}

/// Guards against a node that collects outcomes which no other node wants.
#[tokio::test(start_paused = true)]
async fn nothing_is_recorded_unless_nodes_share_it() {
    let observations = SendObservations::new(false);
    observations.record(&target("a"), SendOutcome::NoConnection);
    assert!(observations.take().is_empty());
    assert!(!is_woken(&observations).await);
}
