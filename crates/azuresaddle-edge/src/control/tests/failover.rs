//! Tests of failover: when an unresponsive owner is replaced, and by which node.

use std::collections::HashSet;
use std::time::Duration;

use tokio::time::Instant;

use super::fleet::Fleet;
use super::members::{advance, heartbeat, ip, members};
use crate::control::heartbeat::Vote;
use crate::control::members::{Members, TICK};
use crate::snapshot::NO_OWNER;

/// Creates a fleet whose nodes know each other; node `n` has the incarnation `n * 1000`, and the
/// one with the lowest incarnation is the owner.
fn fleet(now: Instant, nodes: u16) -> Vec<Members> {
    let informed = |own: u16| {
        let mut members = members(now, own);
        for other in (1..=nodes).filter(|n| *n != own) {
            members.on_heartbeat(now, ip(other), &heartbeat(other, 0));
        }
        members
    };
    (1..=nodes).map(informed).collect()
}

fn vote(voter: u16, owner: u16) -> Vote {
    Vote {
        voter: u64::from(voter) * 1000,
        owner: u64::from(owner) * 1000,
    }
}

/// Delivers a node's ownership claim to all nodes.
fn deliver_claim(fleet: &mut [Members], claimant: u16, now: Instant) {
    let heartbeat = fleet[usize::from(claimant) - 1].bare_heartbeat();
    for members in fleet {
        members.on_heartbeat(now, ip(claimant), &heartbeat);
    }
}

fn owners(fleet: &[Members], now: Instant) -> Vec<u64> {
    let mut all: Vec<u64> = fleet.iter().map(|m| m.live_nodes(now).1).collect();
    all.sort_unstable();
    all.dedup();
    all
}

#[tokio::test(start_paused = true)]
async fn an_owner_that_does_not_answer_is_replaced_and_yields() {
    let start = Instant::now();
    let mut fleet = fleet(start, 2);
    assert!(fleet[1].on_unresponsive_owner(start, 1000));
    assert_eq!(fleet[1].live_nodes(start).1, 2000);
    deliver_claim(&mut fleet, 2, start);
    assert_eq!(owners(&fleet, start), [2000], "the earlier owner yields");
    // The earlier owner answers again; switching back would cost a second handover.
    let mut now = start;
    for counter in 2..26 {
        now = advance(&mut fleet[1], now, TICK);
        fleet[1].on_heartbeat(now, ip(1), &heartbeat(1, counter));
    }
    assert_eq!(fleet[1].live_nodes(now).1, 2000);
}

#[tokio::test(start_paused = true)]
async fn one_or_two_votes_do_not_replace_the_owner_of_300() {
    let now = Instant::now();
    let mut fleet = fleet(now, 300);
    for _ in 0..10 {
        assert!(!fleet[1].on_vote(now, vote(7, 1)));
        assert!(!fleet[1].on_vote(now, vote(8, 1)));
    }
    assert!(fleet[1].on_vote(now, vote(9, 1)), "three votes suffice");
}

#[tokio::test(start_paused = true)]
async fn expired_votes_do_not_count() {
    let start = Instant::now();
    let mut fleet = fleet(start, 20);
    assert!(!fleet[1].on_vote(start, vote(7, 1)));
    assert!(!fleet[1].on_vote(start, vote(8, 1)));
    let later = start + Duration::from_millis(1500);
    assert!(!fleet[1].on_vote(later, vote(9, 1)));
}

#[tokio::test(start_paused = true)]
async fn votes_against_an_earlier_owner_do_not_count() {
    let now = Instant::now();
    let mut fleet = fleet(now, 20);
    for voter in 7..10 {
        fleet[1].on_vote(now, vote(voter, 1));
    }
    deliver_claim(&mut fleet, 2, now);
    for voter in 10..14 {
        assert!(!fleet[2].on_vote(now, vote(voter, 1)));
    }
    assert_eq!(owners(&fleet, now), [2000]);
}

/// A third of the nodes lose the connection to the owner at the same moment.
#[tokio::test(start_paused = true)]
async fn all_of_300_agree_on_one_owner_whoever_suspects_it() {
    let now = Instant::now();
    let mut fleet = fleet(now, 300);
    let mut claims = Vec::new();
    for n in 200..300 {
        assert!(
            !fleet[n].on_unresponsive_owner(now, 1000),
            "no node acts alone"
        );
        let (to, vote) = fleet[n].vote(now).expect("a vote");
        let index = usize::from(to.octets()[3]) - 1;
        if fleet[index].on_vote(now, vote) {
            claims.push(index + 1);
        }
    }
    assert_eq!(claims, [2], "one node takes over, once");
    assert!(owners(&fleet, now).len() <= 2);
    deliver_claim(&mut fleet, 2, now);
    assert_eq!(owners(&fleet, now), [2000]);
}

#[tokio::test(start_paused = true)]
async fn a_successor_that_does_not_take_over_is_skipped() {
    let start = Instant::now();
    let mut fleet = fleet(start, 20);
    fleet[9].on_unresponsive_owner(start, 1000);
    assert_eq!(fleet[9].vote(start).map(|v| v.0), Some(ip(2)));
    let mut now = start;
    while now < start + Duration::from_millis(600) {
        now = advance(&mut fleet[9], now, TICK);
        fleet[9].on_unresponsive_owner(now, 1000);
    }
    assert_eq!(fleet[9].vote(now).map(|v| v.0), Some(ip(3)));
}

#[tokio::test(start_paused = true)]
async fn an_owner_that_answers_again_is_suspected_no_more() {
    let start = Instant::now();
    let mut fleet = fleet(start, 20);
    fleet[9].on_unresponsive_owner(start, 1000);
    let now = advance(&mut fleet[9], start, Duration::from_millis(1200));
    assert_eq!(fleet[9].vote(now), None);
    assert_eq!(fleet[9].live_nodes(now).1, 1000);
}

#[tokio::test(start_paused = true)]
async fn concurrent_claims_are_resolved_by_rank() {
    let now = Instant::now();
    let mut fleet = fleet(now, 20);
    for claimant in [2, 3] {
        for voter in 7..10 {
            fleet[claimant].on_vote(now, vote(voter, 1));
        }
    }
    deliver_claim(&mut fleet, 3, now);
    deliver_claim(&mut fleet, 4, now);
    assert_eq!(owners(&fleet, now), [3000]);
}

/// A whole fleet starts at once; 15 of its 300 hosts are strong, and the nodes receive the
/// configuration one after the other.
#[tokio::test(start_paused = true)]
async fn nodes_that_start_together_agree_on_one_strong_owner() {
    const NODES: u64 = 300;
    const STRONG: u64 = 15;
    let mut fleet = Fleet::new(NODES as u16);
    let start = fleet.now;
    for (n, members) in fleet.nodes.iter_mut().enumerate() {
        let cpu_milli = if (n as u64).is_multiple_of(NODES / STRONG) {
            500
        } else {
            120
        };
        members.started_at = start;
        // The start times of the hosts are unrelated to the order in which they receive the
        // configuration.
        let started_ms = (n as u64 * 7919) % NODES;
        members.update_own(|own| {
            own.configuration = 0;
            own.cpu_milli = cpu_milli;
            own.started_ms = started_ms;
        });
    }
    let mut owners_seen = Vec::new();
    for round in 0..30 {
        let informed = (round * 20).min(NODES as usize);
        for members in &mut fleet.nodes[..informed] {
            members.update_own(|own| own.configuration = 4);
        }
        fleet.round();
        let now = fleet.now;
        let informed = fleet.nodes.iter().filter(|m| m.own.takes_callers());
        let known = informed
            .map(|m| m.live_nodes(now).1)
            .filter(|o| *o != NO_OWNER);
        owners_seen.push(known.collect::<HashSet<u64>>().len());
    }
    let most = owners_seen.iter().max();
    assert!(most <= Some(&2), "owners by round: {owners_seen:?}");
    let now = fleet.now;
    assert_eq!(owners(&fleet.nodes, now).len(), 1);
    let owner = fleet.nodes[0].live_nodes(now).1;
    let owner = fleet.nodes.iter().find(|m| m.own.incarnation == owner);
    assert_eq!(owner.map(|m| m.own.cpu_milli), Some(500));
}

#[tokio::test(start_paused = true)]
async fn a_starting_node_has_no_owner_before_a_claim_or_a_second() {
    let start = Instant::now();
    let mut members = members(start, 9);
    members.started_at = start;
    members.update_own(|own| own.cpu_milli = 120);
    members.on_heartbeat(start, ip(1), &heartbeat(1, 1));
    assert!(!members.claim_if_first(start), "a stronger host is live");
    assert_eq!(members.live_nodes(start).1, NO_OWNER);
    let mut claim = heartbeat(4, 1);
    claim.from.term = 1;
    members.on_heartbeat(start, ip(4), &claim);
    assert_eq!(
        members.live_nodes(start).1,
        4000,
        "the claim counts at once"
    );
}

#[tokio::test(start_paused = true)]
async fn without_a_claim_the_highest_ranked_node_is_the_owner_after_a_second() {
    let start = Instant::now();
    let mut members = members(start, 9);
    members.started_at = start;
    members.update_own(|own| own.configuration = 0);
    let mut now = start;
    for counter in 1..12 {
        members.on_heartbeat(now, ip(1), &heartbeat(1, counter));
        now = advance(&mut members, now, TICK);
    }
    assert_eq!(members.live_nodes(now).1, 1000);
}
