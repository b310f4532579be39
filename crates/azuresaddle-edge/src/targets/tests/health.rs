//! Tests of the choice of a target for a plain request.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::deployment::{TargetEntry, TargetStart, TargetState};
use azuresaddle_core::prelude::*;
use azuresaddle_sched::target_health::{
    FleetHealth, Observer, SendCounts, SendOutcome, TargetVerdicts,
};
use tokio::time::Instant;

use crate::targets::TargetHealth;

pub(super) fn target(id: &str) -> Arc<TargetEntry> {
    Arc::new(TargetEntry {
        id: id.into(),
        service: "s".into(),
        addr: ([10, 0, 0, 1], 80).into(),
        domain: "d1".into(),
        slots: 6,
        state: TargetState::Ready,
        cold_for: Duration::ZERO,
        started: TargetStart::default(),
        sequence: 1,
    })
}

pub(super) fn picked(health: &Arc<TargetHealth>, targets: &[Arc<TargetEntry>]) -> HostName {
    let picked = health.pick(targets, &[], &"d1".into());
    picked.expect("a target is usable").0.id.clone()
}

#[tokio::test(start_paused = true)]
async fn failures_of_a_target_are_forgotten_when_it_restarts() {
    let health = Arc::<TargetHealth>::default();
    let targets = [target("a"), target("b")];
    let a = &targets[0].id;
    health.on_answer(&targets[1].id, Duration::from_millis(30));
    for _ in 0..2 {
        health.on_failure(a);
    }
    health.on_answer(a, Duration::from_millis(900));
    health.on_address_reused(a);
    for _ in 0..20 {
        assert_eq!(picked(&health, &targets), targets[1].id);
    }
    health.clear(a);
    assert!(!health.is_address_reused(a));
    let times = (0..20).filter(|_| picked(&health, &targets) == *a).count();
    assert!(times > 0, "the restarted target gets requests");
}

#[tokio::test(start_paused = true)]
async fn a_target_that_is_removed_during_a_request_returns_without_history() {
    let health = Arc::<TargetHealth>::default();
    let targets = [target("a")];
    let (_, busy) = health.pick(&targets, &[], &"d1".into()).unwrap();
    health.on_address_reused(&targets[0].id);
    health.retain(|_| false);
    assert!(!health.is_address_reused(&targets[0].id));
    drop(busy);
    assert_eq!(picked(&health, &targets), targets[0].id);
}

/// Verdicts with `failing` ejected on the evidence of two nodes.
fn ejecting(targets: &[Arc<TargetEntry>], failing: &HostName) -> TargetVerdicts {
    let now = Instant::now();
    let mut nodes = [1, 2].map(|node| FleetHealth::new(now, Observer { node, domain: 0 }));
    let mut counts = SendCounts::default();
    counts.record(SendOutcome::NoConnection);
    counts.record(SendOutcome::NoConnection);
    for node in &mut nodes {
        node.on_sends(now, failing, TargetStart::default(), &counts);
    }
    let [first, other] = &mut nodes;
    for key in other.take_unsent() {
        first.on_update(now, &other.update_for(now, &key).unwrap());
    }
    first.decide(now, targets, Vec::new);
    assert!(!first.verdicts().accepts(failing));
    first.verdicts().clone()
}

/// Guards against requests to a target that other nodes have found to fail.
#[tokio::test(start_paused = true)]
async fn an_ejected_target_is_skipped_unless_no_other_is_left() {
    let health = Arc::<TargetHealth>::default();
    let targets = [target("a"), target("b")];
    let (a, b) = (&targets[0].id, &targets[1].id);
    let verdicts = ejecting(&targets, a);
    let pick = |exclude: &[HostName]| {
        let picked = health.pick_accepted(&targets, &verdicts, exclude, &"d1".into());
        picked.map(|(target, _)| target.id.clone())
    };
    // The other target is slow and has failed here, but is not ejected.
    health.on_answer(b, Duration::from_millis(900));
    health.on_failure(b);
    health.on_failure(b);
    for _ in 0..20 {
        assert_eq!(pick(&[]).as_ref(), Some(b));
    }
    assert_eq!(pick(std::slice::from_ref(b)).as_ref(), Some(a));
    assert_eq!(pick(&[a.clone(), b.clone()]), None);
    // A request is refused rather than sent to a failing target while the others only ask to wait.
    health.on_limited(b, Duration::from_millis(50));
    assert_eq!(pick(&[]), None);
}

/// Guards against a target that is healthy again but avoided because of this node's own earlier failures.
#[tokio::test(start_paused = true)]
async fn a_target_that_returned_to_use_gets_requests_at_once() {
    let health = Arc::<TargetHealth>::default();
    let targets = [target("a"), target("b")];
    let a = &targets[0].id;
    health.on_failure(a);
    health.on_failure(a);
    assert!((0..20).all(|_| picked(&health, &targets) != *a));
    health.on_returned(a);
    assert!((0..40).any(|_| picked(&health, &targets) == *a));
}

/// Guards against a target that refuses many requests and is still chosen as often as the others.
#[tokio::test(start_paused = true)]
async fn trouble_makes_other_targets_preferable() {
    let health = Arc::<TargetHealth>::default();
    let targets = [target("a"), target("b")];
    let a = &targets[0].id;
    for _ in 0..5 {
        health.on_outcome(a, SendOutcome::ServerError);
    }
    assert!((0..20).all(|_| picked(&health, &targets) != *a));
    for _ in 0..30 {
        health.on_outcome(a, SendOutcome::Answered);
    }
    assert!((0..40).any(|_| picked(&health, &targets) == *a));
}

/// Guards against a sound target that one slow answer keeps out of use for good.
#[tokio::test(start_paused = true)]
async fn a_target_that_answered_slowly_once_gets_requests_again() {
    let health = Arc::<TargetHealth>::default();
    let targets = [target("a"), target("b")];
    let a = &targets[0].id;
    health.on_answer(a, Duration::from_millis(300));
    health.on_answer(&targets[1].id, Duration::from_millis(5));
    let mut times = 0;
    for _ in 0..250 {
        let id = picked(&health, &targets);
        health.on_answer(&id, Duration::from_millis(5));
        times += usize::from(id == *a);
    }
    assert!(times >= 50, "{times} of 250 requests");
}

/// Guards against a slow target that gets many requests while it is tried again.
#[tokio::test(start_paused = true)]
async fn a_slow_target_gets_few_requests() {
    let health = Arc::<TargetHealth>::default();
    let targets = [target("a"), target("b")];
    let a = &targets[0].id;
    let mut times = 0;
    for _ in 0..1000 {
        let id = picked(&health, &targets);
        let is_slow = id == *a;
        health.on_answer(&id, Duration::from_millis(if is_slow { 500 } else { 5 }));
        times += usize::from(is_slow);
    }
    assert!(times <= 20, "{times} of 1000 requests");
}

/// Guards against further requests to a slow target while the one that tries it is not answered yet.
#[tokio::test(start_paused = true)]
async fn one_request_at_a_time_tries_a_slow_target() {
    let health = Arc::<TargetHealth>::default();
    let targets = [target("a"), target("b")];
    let (a, b) = (&targets[0].id, &targets[1].id);
    health.on_answer(a, Duration::from_millis(500));
    let mut in_flight = Vec::new();
    for _ in 0..500 {
        let (target, guard) = health.pick(&targets, &[], &"d1".into()).unwrap();
        if target.id == *a {
            in_flight.push(guard);
        } else {
            health.on_answer(b, Duration::from_millis(5));
        }
    }
    assert_eq!(in_flight.len(), 1);
}
