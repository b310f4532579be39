//! Tests of how fast all nodes learn of a request that crashes its targets.

use azuresaddle_core::prelude::*;
use azuresaddle_sched::quarantine::{Crash, CrashStatus, TargetIncarnation};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::mpsc;

use super::fleet::Fleet;
use super::members::number;
use crate::control::crashes::{CrashGossip, MAX_UPDATES};
use crate::control::heartbeat::{Datagram, MAX_BYTES};
use crate::control::members::TICK;
use crate::metrics::Metrics;
use crate::quarantine::{CrashUpdate, SharedQuarantine};

/// Time after the third crash within which all nodes must have the request in quarantine.
const PROPAGATION_TIME: std::time::Duration = std::time::Duration::from_secs(3);

fn crash(request: u8, target: u64) -> Crash {
    Crash {
        fingerprint: Fingerprint::of(&[&[request]]),
        target: TargetIncarnation { target, number: 0 },
    }
}

/// A node's quarantine and its queue of crash updates.
struct Node {
    quarantine: std::sync::Arc<SharedQuarantine>,
    gossip: CrashGossip,
}

/// Gossips three crashes, each seen by a different node. Returns the rounds until all nodes have
/// the request in quarantine, and the maximum number of datagrams that one node sent in a round.
fn rounds_until_known(nodes: u16, loss_rate: f64) -> (u32, usize) {
    let mut fleet = Fleet::new(nodes);
    fleet.advance(std::time::Duration::from_secs(4));
    let mut rng = SmallRng::seed_from_u64(u64::from(nodes));
    let mut all: Vec<Node> = (0..nodes)
        .map(|_| Node {
            quarantine: SharedQuarantine::new(mpsc::channel(1).0, Metrics::new()),
            gossip: CrashGossip::default(),
        })
        .collect();
    // Each crash is seen by a different node.
    for n in 0..3_u64 {
        let node = &mut all[usize::from(nodes) * n as usize / 3];
        let crash = crash(1, n);
        node.quarantine.learn_crash(crash);
        node.gossip.push(CrashUpdate::Crash(crash));
    }
    let request = Fingerprint::of(&[&[1]]);
    let knows = |n: &Node| n.quarantine.status(request).is_quarantined();
    let mut most_sent = 0;
    for round in 0.. {
        if all.iter().all(knows) {
            return (round, most_sent);
        }
        assert!(round < 1000, "some node never learns of the crashes");
        fleet.round();
        let mut sent = Vec::new();
        for (node, members) in all.iter_mut().zip(&mut fleet.nodes) {
            let updates = node.gossip.next_round();
            if updates.is_empty() {
                continue;
            }
            let to = if members.is_mesh() {
                members.alive_hosts(fleet.now)
            } else {
                members.gossip_peers()
            };
            most_sent = most_sent.max(to.len());
            sent.extend(to.into_iter().map(|ip| (ip, updates.clone())));
        }
        for (ip, updates) in sent {
            if rng.random_bool(loss_rate) {
                continue;
            }
            let node = &mut all[number(ip) - 1];
            for one in updates {
                let CrashUpdate::Crash(crash) = one else {
                    continue;
                };
                if node.quarantine.learn_crash(crash) == CrashStatus::New && nodes > 12 {
                    node.gossip.push(one);
                }
            }
        }
    }
    unreachable!("the loop returns")
}

#[tokio::test(start_paused = true)]
async fn all_nodes_know_within_the_propagation_time_despite_datagram_loss() {
    for nodes in [3, 9, 90, 300] {
        let (rounds, most_sent) = rounds_until_known(nodes, 0.1);
        assert!(TICK * rounds <= PROPAGATION_TIME, "{nodes} nodes: {rounds}");
        assert!(most_sent <= 12, "{nodes} nodes: {most_sent} datagrams");
    }
}

#[tokio::test(start_paused = true)]
async fn a_full_datagram_fits_and_each_update_is_sent_three_times() {
    let mut gossip = CrashGossip::default();
    for n in 0..100 {
        gossip.push(CrashUpdate::Crash(crash(1, u64::MAX - n)));
    }
    let mut sent = 0;
    loop {
        let round = gossip.next_round();
        if round.is_empty() {
            break;
        }
        assert!(round.len() <= MAX_UPDATES);
        sent += round.len();
        let bytes = Datagram::Crashes(round).encode();
        assert!(bytes.len() <= MAX_BYTES, "{} bytes", bytes.len());
    }
    assert_eq!(sent, 300);
}

/// Guards against an unbounded queue when hundreds of targets crash at the same moment, each with
/// all its streams.
#[tokio::test(start_paused = true)]
async fn queued_updates_are_bounded() {
    let mut gossip = CrashGossip::default();
    for n in 0..10_000 {
        gossip.push(CrashUpdate::Crash(crash(1, n)));
    }
    let mut rounds = 0;
    while !gossip.next_round().is_empty() {
        rounds += 1;
    }
    assert!(rounds <= 1024 * 3 / MAX_UPDATES + 1, "{rounds} rounds");
}
