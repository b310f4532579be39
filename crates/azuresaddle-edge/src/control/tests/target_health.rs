//! Tests of how nodes share what they observe of plain targets.

use std::time::Duration;

use azuresaddle_sched::target_health::{
    EjectionScope, HealthBucket, HealthUpdate, Observer, ProbeReport, ProbeStage, SendCounts,
    SendOutcome,
};
use rand::Rng;

use super::fleet::Fleet;
use super::health_fleet::{HealthFleet, STARTED, target};
use crate::control::heartbeat::{Datagram, MAX_BYTES};
use crate::control::shared_health::{MAX_UPDATES, SharedHealth};

/// Fraction of datagrams that are lost.
const LOSS_RATE: f64 = 0.05;

fn failure() -> SendCounts {
    let mut counts = SendCounts::default();
    counts.record(SendOutcome::NoConnection);
    counts
}

/// Guards against callers of far nodes that meet a failing target long after the first node did.
#[tokio::test(start_paused = true)]
async fn all_nodes_know_a_failure_within_the_bound_despite_datagram_loss() {
    for nodes in [3, 7, 81, 300] {
        let mut fleet = HealthFleet::new(nodes, 1, LOSS_RATE);
        let start = fleet.now;
        fleet.observe(0, 0, SendOutcome::NoConnection);
        while fleet.informed(0) < usize::from(nodes) {
            fleet.step();
            let took = fleet.now - start;
            assert!(took <= Duration::from_millis(300), "{nodes} nodes");
        }
    }
}

/// Guards against gossip that takes the link of a small host while targets fail: three of seven targets get no connection
/// for 2 s, at the highest rate.
#[tokio::test(start_paused = true)]
async fn gossip_of_an_outage_stays_within_the_bytes_of_control() {
    const RATE: f64 = 94.0;
    const MAX_BYTES_PER_S: usize = 14_000;
    let mut fleet = HealthFleet::new(420, 7, LOSS_RATE);
    let start = fleet.now;
    let time = Duration::from_secs(2);
    while fleet.now < start + time {
        if fleet.rng.random_bool(RATE * 0.005) {
            let node = fleet.rng.random_range(0..420);
            let target = fleet.rng.random_range(0..7);
            if target >= 3 {
                fleet.observe(node, target, SendOutcome::Answered);
            } else if fleet.accepts(node, target) {
                fleet.observe(node, target, SendOutcome::NoConnection);
            }
        }
        fleet.step();
    }
    assert!((0..3).all(|target| !fleet.accepts(0, target)));
    let bytes_per_s = fleet.mean_bytes_sent() / 2;
    assert!(bytes_per_s <= MAX_BYTES_PER_S, "{bytes_per_s} bytes/s");
}

/// Guards against observations that are sent on for ever.
#[tokio::test(start_paused = true)]
async fn observations_older_than_two_seconds_are_not_forwarded() {
    let fleet = Fleet::new(1);
    let now = fleet.now;
    let mut health = SharedHealth::new(now, &fleet.nodes[0].own);
    health
        .view
        .on_sends(now, &target(0).id, STARTED, &failure());
    let keys = health.view.take_unsent();
    let fresh = now + Duration::from_millis(1900);
    assert!(health.view.update_for(fresh, &keys[0]).is_some());
    let old = now + Duration::from_millis(2000);
    assert!(health.view.update_for(old, &keys[0]).is_none());
}

/// Guards against a healthy fleet that gossips every send.
#[tokio::test(start_paused = true)]
async fn nodes_send_nothing_while_no_target_fails() {
    let fleet = Fleet::new(1);
    let mut health = SharedHealth::new(fleet.now, &fleet.nodes[0].own);
    let mut counts = SendCounts::default();
    counts.record(SendOutcome::Answered);
    counts.record(SendOutcome::Refused);
    let is_urgent = health
        .view
        .on_sends(fleet.now, &target(0).id, STARTED, &counts);
    assert!(!is_urgent);
    assert_eq!(health.view.take_unsent(), []);
}

/// Guards against datagrams that are too long for the network, in the usual case of one to three intervals.
#[tokio::test(start_paused = true)]
async fn a_round_of_observations_fits_into_a_datagram() {
    let bucket = HealthBucket {
        index: 1 << 20,
        age_ms: 1999,
        counts: failure(),
    };
    let update = HealthUpdate {
        observer: Observer {
            node: u64::MAX,
            domain: u16::MAX,
        },
        target: target(0).id.clone(),
        started: STARTED,
        buckets: vec![bucket; 3],
        report: Some(ProbeReport {
            sequence: 1000,
            stage: ProbeStage::Failed,
            failed_probes: 10,
            scope: EjectionScope::Domain(u16::MAX),
            age_ms: 1999,
        }),
    };
    let bytes = Datagram::TargetHealth(vec![update; MAX_UPDATES]).encode();
    assert!(bytes.len() <= MAX_BYTES, "{} bytes", bytes.len());
}
