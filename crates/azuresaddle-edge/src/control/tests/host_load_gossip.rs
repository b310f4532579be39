//! Tests of the gossip of load levels.

use std::time::Duration;

use azuresaddle_sched::addresses::{HostLoads, LoadLevel, StatedLoad};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use super::fleet::Fleet;
use super::members::number;
use crate::control::heartbeat::{Datagram, MAX_BYTES};
use crate::control::host_load_update::HostLoadUpdate;
use crate::control::host_loads::{LoadGossip, MAX_LOADS};
use crate::control::members::TICK;

/// The node that states its level.
const STATING: u64 = 1000;

fn stated(number: u32, stated_at: Instant) -> StatedLoad {
    StatedLoad {
        level: LoadLevel::High,
        number,
        stated_at,
    }
}

/// States a level at one node and returns the rounds until all nodes know it.
fn rounds_until_known(nodes: u16, loss_rate: f64) -> u32 {
    let mut fleet = Fleet::new(nodes);
    fleet.advance(Duration::from_secs(4));
    let mut rng = SmallRng::seed_from_u64(u64::from(nodes));
    let mut all: Vec<(HostLoads, LoadGossip)> = (0..nodes).map(|_| Default::default()).collect();
    all[0].0.on_stated(fleet.now, STATING, stated(1, fleet.now));
    all[0].1.push(STATING);
    for round in 0..1000 {
        let knows = |l: &HostLoads| l.level(fleet.now, STATING) == LoadLevel::High;
        if all.iter().all(|(loads, _)| knows(loads)) {
            return round;
        }
        fleet.round();
        if !round.is_multiple_of(2) {
            continue;
        }
        let mut sent = Vec::new();
        for ((loads, gossip), members) in all.iter_mut().zip(&mut fleet.nodes) {
            if gossip.next_round().is_empty() {
                continue;
            }
            let latest = loads.latest(fleet.now, STATING).unwrap();
            let update = HostLoadUpdate::new(fleet.now, STATING, latest);
            let to = if members.is_mesh() {
                members.alive_hosts(fleet.now)
            } else {
                members.gossip_peers()
            };
            sent.extend(to.into_iter().map(|ip| (ip, update)));
        }
        for (ip, update) in sent {
            if rng.random_bool(loss_rate) {
                continue;
            }
            let (loads, gossip) = &mut all[number(ip) - 1];
            if loads.on_stated(fleet.now, STATING, update.stated(fleet.now)) {
                gossip.push(STATING);
            }
        }
    }
    panic!("some node never learns of the level");
}

/// Guards against nodes that still send callers to a loaded host after the time to live of their answers.
#[tokio::test(start_paused = true)]
async fn all_nodes_know_a_level_within_three_seconds_despite_datagram_loss() {
    for nodes in [3, 9, 81, 300] {
        let rounds = rounds_until_known(nodes, 0.1);
        eprintln!("{nodes} nodes: {rounds} rounds");
        assert!(
            TICK * rounds <= Duration::from_secs(3),
            "{nodes} nodes: {rounds}"
        );
    }
}

/// Guards against a level that lives longer with each node that relays it.
#[tokio::test(start_paused = true)]
async fn relays_do_not_extend_the_life_of_a_level() {
    let start = Instant::now() + Duration::from_secs(60);
    let mut update = HostLoadUpdate::new(start, STATING, stated(1, start));
    let mut now = start;
    for _ in 0..4 {
        now += Duration::from_secs(2);
        let mut loads = HostLoads::default();
        let arrived = now - Duration::from_secs(2);
        assert!(loads.on_stated(arrived, STATING, update.stated(arrived)));
        update = HostLoadUpdate::new(now, STATING, loads.latest(now, STATING).unwrap());
    }
    let age = now.duration_since(update.stated(now).stated_at);
    assert_eq!(age, Duration::from_secs(8));
}

#[tokio::test(start_paused = true)]
async fn a_full_datagram_of_levels_fits() {
    let now = Instant::now();
    let update = HostLoadUpdate::new(now, u64::MAX, stated(u32::MAX, now));
    let bytes = Datagram::HostLoad(vec![update; MAX_LOADS]).encode();
    assert!(bytes.len() <= MAX_BYTES, "{} bytes", bytes.len());
    let decoded = Datagram::decode(&bytes);
    assert_eq!(decoded, Some(Datagram::HostLoad(vec![update; MAX_LOADS])));
}

/// Guards against a kind of a later build that is taken for another one.
#[test]
fn an_unknown_kind_of_datagram_is_not_decoded() {
    assert_eq!(Datagram::decode(&[200, 1, 0, 0, 0]), None);
}
