//! Tests of how nodes share what they observe of plain targets.

use std::net::Ipv4Addr;
use std::time::Duration;

use azuresaddle_core::deployment::TargetStart;
use azuresaddle_core::prelude::*;
use azuresaddle_sched::target_health::{
    EjectionScope, HealthBucket, HealthKey, HealthUpdate, Observer, ProbeReport, ProbeStage,
    SendCounts, SendOutcome,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use super::fleet::Fleet;
use super::members::number;
use crate::control::heartbeat::{Datagram, MAX_BYTES};
use crate::control::members::{Members, TICK};
use crate::control::shared_health::{MAX_UPDATES, SharedHealth};

const STARTED: TargetStart = TargetStart(1_790_000_000_000);

/// Time that a datagram takes: the delay between failure domains, and some wait for the receiver's processor.
const HOP_DELAY: Duration = Duration::from_millis(10);

/// Resolution of the virtual time.
const STEP: Duration = Duration::from_millis(5);

fn target() -> HostName {
    HostName::new("i-5a807b3b18")
}

fn failure() -> SendCounts {
    let mut counts = SendCounts::default();
    counts.record(SendOutcome::NoConnection);
    counts
}

struct Node {
    health: SharedHealth,
    next_tick: Instant,
}

struct Sent {
    arrives: Instant,
    to: Ipv4Addr,
    updates: Vec<HealthUpdate>,
}

/// Lets one node observe a failure and returns the time after which all nodes know it.
fn spread(nodes: u16, loss_rate: f64) -> Duration {
    let mut fleet = Fleet::new(nodes);
    fleet.advance(Duration::from_secs(4));
    let mut rng = SmallRng::seed_from_u64(u64::from(nodes));
    let start = fleet.now;
    let mut now = start;
    let new_node = |members: &Members, rng: &mut SmallRng| Node {
        health: SharedHealth::new(start, &members.own),
        next_tick: start + TICK.mul_f64(rng.random_range(0.0..1.0)),
    };
    let members = fleet.nodes.iter();
    let mut all: Vec<Node> = members.map(|m| new_node(m, &mut rng)).collect();
    let first = &mut all[0].health;
    assert!(first.view.on_sends(now, &target(), STARTED, &failure()));
    for key in first.view.take_unsent() {
        first.push(key);
    }
    let key = HealthKey {
        target: target(),
        node: fleet.nodes[0].incarnation(),
    };
    let mut waiting: Vec<Sent> = Vec::new();
    while now < start + Duration::from_secs(2) {
        now += STEP;
        let (due, later): (Vec<Sent>, Vec<Sent>) =
            waiting.into_iter().partition(|s| s.arrives <= now);
        waiting = later;
        for sent in due {
            let health = &mut all[number(sent.to) - 1].health;
            for update in &sent.updates {
                if health.view.on_update(now, update) && nodes > 12 {
                    health.push(update.key());
                }
            }
        }
        for (node, members) in all.iter_mut().zip(&mut fleet.nodes) {
            let is_tick = node.next_tick <= now;
            if is_tick {
                node.next_tick += TICK;
            }
            if !is_tick && !node.health.is_round_due(now) {
                continue;
            }
            let keys = node.health.next_round(now);
            let view = &node.health.view;
            let updates = keys.iter().filter_map(|k| view.update_for(now, k));
            let updates: Vec<HealthUpdate> = updates.collect();
            if updates.is_empty() {
                continue;
            }
            let to = if members.is_mesh() {
                members.alive_hosts(start)
            } else {
                members.gossip_peers()
            };
            for to in to {
                if !rng.random_bool(loss_rate) {
                    waiting.push(Sent {
                        arrives: now + HOP_DELAY,
                        to,
                        updates: updates.clone(),
                    });
                }
            }
        }
        let knows = |n: &Node| n.health.view.update_for(now, &key).is_some();
        if all.iter().all(knows) {
            return now - start;
        }
    }
    panic!("some node never learns of the failure");
}

/// Guards against callers of far nodes that meet a failing target long after the first node did.
#[tokio::test(start_paused = true)]
async fn all_nodes_know_a_failure_within_the_bound_despite_datagram_loss() {
    for nodes in [3, 7, 81, 300] {
        let took = spread(nodes, 0.05);
        assert!(
            took <= Duration::from_millis(300),
            "{nodes} nodes: {took:?}"
        );
    }
}

/// Guards against observations that are sent on for ever.
#[tokio::test(start_paused = true)]
async fn observations_older_than_two_seconds_are_not_forwarded() {
    let fleet = Fleet::new(1);
    let now = fleet.now;
    let mut health = SharedHealth::new(now, &fleet.nodes[0].own);
    health.view.on_sends(now, &target(), STARTED, &failure());
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
    let is_urgent = health.view.on_sends(fleet.now, &target(), STARTED, &counts);
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
        target: target(),
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
