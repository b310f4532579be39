//! Tests of the choice of a target for a plain request.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::deployment::{TargetEntry, TargetStart, TargetState};
use azuresaddle_core::prelude::*;

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
