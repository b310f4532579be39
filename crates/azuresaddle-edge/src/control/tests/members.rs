//! Tests of failure detection, gossip and the choice of watchers.

use std::net::Ipv4Addr;
use std::time::Duration;

use tokio::time::Instant;

use super::fleet::Fleet;
use crate::control::heartbeat::{Heartbeat, HeartbeatDigest, MemberState};
use crate::control::members::{Members, TICK};
use azuresaddle_platform::{StoreEra, StorePosition};

pub(super) fn ip(n: u16) -> Ipv4Addr {
    let [high, low] = n.to_be_bytes();
    Ipv4Addr::new(10, 0, high, low)
}

pub(super) fn number(ip: Ipv4Addr) -> usize {
    let [_, _, high, low] = ip.octets();
    usize::from(u16::from_be_bytes([high, low]))
}

pub(super) fn state(n: u16, counter: u32) -> MemberState {
    MemberState {
        ip: ip(n),
        incarnation: u64::from(n) * 1000,
        counter,
        started_ms: 1_000_000 + u64::from(n),
        cpu_milli: 250,
        domain: n % 5,
        callers_port: 8227,
        configuration: 4,
        targets: StorePosition::new(StoreEra(1), 20),
        targets_hash: 1,
        is_settled: true,
        is_leaving: false,
        is_watching: true,
        term: 0,
    }
}

pub(super) fn heartbeat(n: u16, counter: u32) -> Heartbeat {
    Heartbeat {
        from: state(n, counter),
        others: Vec::new(),
        digests: Vec::new(),
    }
}

pub(super) fn digest(n: u16, counter: u32) -> HeartbeatDigest {
    HeartbeatDigest::new(&state(n, counter), counter)
}

/// Creates the members of a node that has been running for some time.
pub(super) fn members(now: Instant, own: u16) -> Members {
    let mut members = Members::new(now, state(own, 0), 7341, &[ip(1), ip(2)]);
    members.started_at = now - Duration::from_secs(5);
    members
}

/// Advances in ticks, as the control loop does.
pub(super) fn advance(members: &mut Members, from: Instant, time: Duration) -> Instant {
    let mut now = from;
    while now < from + time {
        now += TICK;
        members.on_tick(now);
    }
    now
}

#[tokio::test(start_paused = true)]
async fn the_oldest_node_is_the_owner_until_it_falls_silent() {
    let start = Instant::now();
    let mut members = members(start, 3);
    assert!(members.on_heartbeat(start, ip(1), &heartbeat(1, 1)));
    assert!(members.on_heartbeat(start, ip(2), &heartbeat(2, 1)));
    assert_eq!(members.live_nodes(start).1, 1000);
    let mut now = start;
    for counter in 2..8 {
        now = advance(&mut members, now, TICK);
        members.on_heartbeat(now, ip(2), &heartbeat(2, counter));
    }
    let (nodes, owner) = members.live_nodes(now);
    assert_eq!((nodes.len(), owner), (2, 2000));
}

#[tokio::test(start_paused = true)]
async fn a_stopping_owner_is_replaced_at_once() {
    let now = Instant::now();
    let mut members = members(now, 2);
    members.on_heartbeat(now, ip(1), &heartbeat(1, 1));
    assert_eq!(members.live_nodes(now).1, 1000);
    let mut leaving = heartbeat(1, 2);
    leaving.from.is_leaving = true;
    assert!(members.on_heartbeat(now, ip(1), &leaving));
    let (nodes, owner) = members.live_nodes(now);
    assert_eq!(owner, 2000);
    assert!(
        nodes
            .iter()
            .any(|n| n.incarnation == 1000 && !n.takes_callers)
    );
}

#[tokio::test(start_paused = true)]
async fn a_stall_of_this_process_marks_no_node_as_failed() {
    let start = Instant::now();
    let mut members = members(start, 3);
    members.on_heartbeat(start, ip(1), &heartbeat(1, 1));
    // The process was stalled for five seconds; the heartbeats of that time are still unread.
    let now = start + Duration::from_secs(5);
    members.on_tick(now);
    assert_eq!(members.live_nodes(now).1, 1000);
}

#[tokio::test(start_paused = true)]
async fn older_states_of_a_node_are_ignored() {
    let now = Instant::now();
    let mut members = members(now, 3);
    members.on_heartbeat(now, ip(1), &heartbeat(1, 9));
    let mut old = state(1, 5);
    old.is_leaving = true;
    let relayed = Heartbeat {
        from: state(2, 1),
        others: vec![old],
        digests: Vec::new(),
    };
    members.on_heartbeat(now, ip(2), &relayed);
    let (nodes, _) = members.live_nodes(now);
    assert!(nodes.iter().all(|n| n.takes_callers));
}

#[tokio::test(start_paused = true)]
async fn a_restarted_process_is_accepted_with_its_clock_set_back() {
    let now = Instant::now();
    let mut members = members(now, 3);
    members.on_heartbeat(now, ip(1), &heartbeat(1, 90));
    let mut again = heartbeat(1, 1);
    again.from.incarnation = 77;
    again.from.started_ms = 5;
    assert!(members.on_heartbeat(now, ip(1), &again));
    assert!(
        members
            .live_nodes(now)
            .0
            .iter()
            .any(|n| n.incarnation == 77)
    );
}

#[tokio::test(start_paused = true)]
async fn a_heartbeat_that_names_another_host_is_ignored() {
    let now = Instant::now();
    let mut members = members(now, 3);
    assert!(!members.on_heartbeat(now, ip(9), &heartbeat(1, 1)));
    assert_eq!(members.live_nodes(now).0.len(), 1);
}

/// Guards against a wrong owner: nodes that received only digests of an owner that had just read
/// its configuration used other nodes as owner for seconds.
#[tokio::test(start_paused = true)]
async fn a_state_is_accepted_after_a_later_digest() {
    let now = Instant::now();
    let mut members = members(now, 3);
    let mut starting = heartbeat(1, 1);
    starting.from.configuration = 0;
    members.on_heartbeat(now, ip(1), &starting);
    let stale = HeartbeatDigest::new(&starting.from, 1);
    let now = now + TICK;
    let mut relayed = heartbeat(2, 1);
    relayed.digests = vec![digest(1, 9)];
    members.on_heartbeat(now, ip(2), &relayed);
    // The digest that this node relays meanwhile matches the state that it knows.
    assert_eq!(members.heartbeat(now).digests, [digest(2, 1), stale]);
    // The digest shows that the node accepts callers now, so its state is requested.
    assert_eq!(members.hosts_to_request(&relayed), [ip(1)]);
    assert!(members.on_states(now, &[state(1, 6)]));
    assert!(members.hosts_to_request(&relayed).is_empty());
    assert_eq!(members.live_nodes(now).1, 1000);
}

/// A node of a large fleet discovers all others by gossip, and sends no more messages than a node
/// of a small fleet.
#[tokio::test(start_paused = true)]
async fn a_large_fleet_discovers_all_nodes_with_a_few_peers_per_round() {
    const NODES: u16 = 90;
    let mut fleet = Fleet::new(NODES);
    fleet.advance(Duration::from_secs(6));
    assert!(
        fleet.most_sent <= 4,
        "{} messages in one round",
        fleet.most_sent
    );
    for members in &fleet.nodes {
        let (nodes, owner) = members.live_nodes(fleet.now);
        assert_eq!((nodes.len(), owner), (usize::from(NODES), 1000));
    }
    let now = fleet.now;
    let watching = fleet.nodes.iter_mut().filter_map(|m| m.watch_role(now));
    assert_eq!(watching.count(), 4);
}

/// Guards against a failure timeout that is too short: nodes of a fleet of 300 took each other for
/// failed 17 times a second, and published a new snapshot each time.
#[tokio::test(start_paused = true)]
async fn no_node_is_marked_failed_in_a_fleet_of_300() {
    let mut fleet = Fleet::new(300);
    fleet.advance(Duration::from_secs(5));
    for members in &fleet.nodes {
        assert_eq!(members.live_nodes(fleet.now).0.len(), 300);
    }
    let changes = fleet.advance(Duration::from_secs(3));
    assert!(changes < 20, "{changes} changes of view in 3 s");
}

/// Guards against false failures when all processes of a large fleet start at the same moment, so
/// that their gossip rounds coincide, and some datagrams are lost.
#[tokio::test(start_paused = true)]
async fn no_node_is_marked_failed_in_a_fleet_that_starts_in_step() {
    for nodes in [300, 420] {
        let mut fleet = Fleet::new(nodes);
        fleet.loss_rate = 0.01;
        for members in &mut fleet.nodes {
            members.update_own(|own| own.configuration = 0);
        }
        fleet.advance(Duration::from_millis(600));
        for members in &mut fleet.nodes {
            members.update_own(|own| own.configuration = 4);
        }
        fleet.advance(Duration::from_secs(8));
        let changes = fleet.advance(Duration::from_secs(5));
        assert!(changes < 20, "{nodes}: {changes} changes of view in 5 s");
    }
}

#[tokio::test(start_paused = true)]
async fn a_node_known_only_by_digest_is_requested() {
    let now = Instant::now();
    let mut members = members(now, 3);
    let mut relayed = heartbeat(1, 1);
    relayed.digests = vec![digest(9, 5), digest(3, 1)];
    members.on_heartbeat(now, ip(1), &relayed);
    assert_eq!(members.hosts_to_request(&relayed), [ip(9)]);
    assert!(members.on_states(now, &[state(9, 5)]));
    assert!(members.hosts_to_request(&relayed).is_empty());
    // A restarted process is requested too.
    relayed.digests[0].process += 1;
    assert_eq!(members.hosts_to_request(&relayed), [ip(9)]);
}

/// Traffic between failure domains is expensive, so most gossip peers are in the own domain; states
/// still reach all nodes.
#[tokio::test(start_paused = true)]
async fn three_of_four_peers_are_in_the_same_failure_domain() {
    let mut fleet = Fleet::new(100);
    fleet.advance(Duration::from_secs(4));
    for members in &mut fleet.nodes {
        let domain = members.own.domain;
        let peers = members.gossip_peers();
        let is_near = |ip: &&Ipv4Addr| number(**ip) as u16 % 5 == domain;
        assert_eq!((peers.len(), peers.iter().filter(is_near).count()), (4, 3));
    }
}

/// The traffic between two failure domains must not grow with the number of nodes in them.
#[tokio::test(start_paused = true)]
async fn about_sixty_nodes_of_a_large_domain_send_to_another_one_in_a_round() {
    let now = Instant::now();
    let mut members = members(now, 5);
    for n in (1..=1000).filter(|n| *n != 5) {
        members.on_heartbeat(now, ip(n), &heartbeat(n, 1));
    }
    let is_far = |ip: &Ipv4Addr| !number(*ip).is_multiple_of(5);
    let rounds = 2_000;
    let far: usize = (0..rounds)
        .map(|_| members.gossip_peers().into_iter().filter(is_far).count())
        .sum();
    let senders = 200.0 * far as f64 / f64::from(rounds);
    assert!((50.0..70.0).contains(&senders), "{senders}");
}

#[tokio::test(start_paused = true)]
async fn a_node_alone_in_its_domain_chooses_peers_elsewhere() {
    let now = Instant::now();
    let mut members = members(now, 5);
    for n in (1..60).filter(|n| n % 5 != 0) {
        members.on_heartbeat(now, ip(n), &heartbeat(n, 1));
    }
    assert_eq!(members.gossip_peers().len(), 4);
}

/// Guards against addresses of failed nodes in a large fleet, whose failure timeout is long.
#[tokio::test(start_paused = true)]
async fn callers_get_no_address_of_a_node_that_has_been_silent_for_four_seconds() {
    let now = Instant::now();
    let mut members = members(now, 1);
    let relayed = Heartbeat {
        from: state(2, 1),
        others: (3..=984).map(|n| state(n, 1)).collect(),
        digests: Vec::new(),
    };
    members.on_heartbeat(now, ip(2), &relayed);
    let offered = |members: &Members, now| {
        let (nodes, _) = members.live_nodes(now);
        assert_eq!(nodes.len(), 984);
        nodes.iter().filter(|n| n.takes_callers).count()
    };
    let mut later = now;
    for _ in 0..39 {
        later += TICK;
        members.on_tick(later);
    }
    assert_eq!(offered(&members, later), 984);
    members.on_heartbeat(later, ip(2), &heartbeat(2, 2));
    let silent = later + TICK;
    // The nodes that have been heard of are published anew.
    assert!(members.on_tick(silent));
    assert_eq!(offered(&members, silent), 2);
}
