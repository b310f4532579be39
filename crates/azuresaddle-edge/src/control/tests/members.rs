//! Who is alive and who places streams.

use std::net::Ipv4Addr;
use std::time::Duration;

use tokio::time::Instant;

use crate::control::heartbeat::{Heartbeat, MAX_BYTES, NodeNews};
use crate::control::members::{Members, TICK};

fn ip(n: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, n)
}

fn news(n: u8, counter: u32) -> NodeNews {
    NodeNews {
        ip: ip(n),
        incarnation: u64::from(n) * 1000,
        counter,
        started_ms: 1_000_000 + u64::from(n),
        cpu_milli: 250,
        callers_port: 8227,
        configuration: 4,
        targets: 20,
        targets_hash: 1,
        is_leaving: false,
        is_watching: true,
    }
}

fn beat(n: u8, counter: u32) -> Heartbeat {
    Heartbeat {
        from: news(n, counter),
        others: Vec::new(),
    }
}

fn members(now: Instant, own: u8) -> Members {
    Members::new(now, news(own, 0), 7341, &[ip(1), ip(2)])
}

/// Advances in ticks, as control does.
fn pass(members: &mut Members, from: Instant, time: Duration) -> Instant {
    let mut now = from;
    while now < from + time {
        now += TICK;
        members.check(now);
    }
    now
}

#[tokio::test(start_paused = true)]
async fn the_oldest_places_streams_and_a_silent_one_is_passed_over() {
    let start = Instant::now();
    let mut members = members(start, 3);
    assert!(members.on_heartbeat(start, ip(1), beat(1, 1)));
    assert!(members.on_heartbeat(start, ip(2), beat(2, 1)));
    assert_eq!(members.live(start).1, 1000);
    let mut now = start;
    for counter in 2..8 {
        now = pass(&mut members, now, TICK);
        members.on_heartbeat(now, ip(2), beat(2, counter));
    }
    let (nodes, owner) = members.live(now);
    assert_eq!((nodes.len(), owner), (2, 2000));
}

#[tokio::test(start_paused = true)]
async fn a_node_that_stops_gives_the_streams_away_at_once() {
    let now = Instant::now();
    let mut members = members(now, 2);
    members.on_heartbeat(now, ip(1), beat(1, 1));
    assert_eq!(members.live(now).1, 1000);
    let mut leaving = beat(1, 2);
    leaving.from.is_leaving = true;
    assert!(members.on_heartbeat(now, ip(1), leaving));
    let (nodes, owner) = members.live(now);
    assert_eq!(owner, 2000);
    assert!(
        nodes
            .iter()
            .any(|n| n.incarnation == 1000 && !n.takes_callers)
    );
}

#[tokio::test(start_paused = true)]
async fn a_stall_of_this_process_makes_nobody_silent() {
    let start = Instant::now();
    let mut members = members(start, 3);
    members.on_heartbeat(start, ip(1), beat(1, 1));
    // Frozen for five seconds; the heartbeats of that time wait unread.
    let now = start + Duration::from_secs(5);
    members.check(now);
    assert_eq!(members.live(now).1, 1000);
}

#[tokio::test(start_paused = true)]
async fn an_owner_that_does_not_answer_is_passed_over_for_a_while() {
    let start = Instant::now();
    let mut members = members(start, 3);
    members.on_heartbeat(start, ip(1), beat(1, 1));
    assert!(members.on_no_answer(start, 1000));
    assert_eq!(members.live(start).1, 3000);
    let mut now = start;
    for counter in 2..26 {
        now = pass(&mut members, now, TICK);
        members.on_heartbeat(now, ip(1), beat(1, counter));
    }
    assert_eq!(members.live(now).1, 1000);
}

#[tokio::test(start_paused = true)]
async fn older_news_of_a_node_are_ignored() {
    let now = Instant::now();
    let mut members = members(now, 3);
    members.on_heartbeat(now, ip(1), beat(1, 9));
    let mut old = news(1, 5);
    old.is_leaving = true;
    let told = Heartbeat {
        from: news(2, 1),
        others: vec![old],
    };
    members.on_heartbeat(now, ip(2), told);
    let (nodes, _) = members.live(now);
    assert!(nodes.iter().all(|n| n.takes_callers));
}

#[tokio::test(start_paused = true)]
async fn a_restarted_process_counts_even_with_its_clock_set_back() {
    let now = Instant::now();
    let mut members = members(now, 3);
    members.on_heartbeat(now, ip(1), beat(1, 90));
    let mut again = beat(1, 1);
    again.from.incarnation = 77;
    again.from.started_ms = 5;
    assert!(members.on_heartbeat(now, ip(1), again));
    assert!(members.live(now).0.iter().any(|n| n.incarnation == 77));
}

#[tokio::test(start_paused = true)]
async fn a_heartbeat_that_names_another_host_is_ignored() {
    let now = Instant::now();
    let mut members = members(now, 3);
    assert!(!members.on_heartbeat(now, ip(9), beat(1, 1)));
    assert_eq!(members.live(now).0.len(), 1);
}

/// A large fleet learns of every node by partners, with as many messages a node as a small one.
#[tokio::test(start_paused = true)]
async fn a_large_fleet_learns_of_all_by_a_few_partners() {
    const NODES: u8 = 90;
    let start = Instant::now();
    let mut fleet: Vec<Members> = (1..=NODES).map(|n| members(start, n)).collect();
    let mut now = start;
    let mut most_sent = 0;
    for round in 0..60 {
        now += TICK;
        let mut sent = Vec::new();
        for (n, members) in fleet.iter_mut().enumerate() {
            members.check(now);
            let to = members.destinations();
            if round > 40 {
                most_sent = most_sent.max(to.len());
            }
            let beat = members.heartbeat(now);
            assert!(beat.encode().len() <= MAX_BYTES);
            sent.extend(to.into_iter().map(|ip| (n as u8 + 1, ip, beat.clone())));
        }
        for (from, to, beat) in sent {
            let at = usize::from(to.octets()[3]) - 1;
            if let Some(members) = fleet.get_mut(at) {
                members.on_heartbeat(now, ip(from), beat);
            }
        }
    }
    assert!(most_sent <= 4, "{most_sent} messages in one round");
    for members in &fleet {
        let (nodes, owner) = members.live(now);
        assert_eq!((nodes.len(), owner), (usize::from(NODES), 1000));
    }
    let watching = fleet.iter().filter(|m| m.should_watch(now)).count();
    assert_eq!(watching, 4);
}

#[tokio::test(start_paused = true)]
async fn all_follow_the_store_where_the_few_are_not_answered() {
    let now = Instant::now();
    let mut members = members(now, 60);
    let others = (1..40).map(|n| {
        let mut news = news(n, 1);
        news.is_watching = false;
        news
    });
    let told = Heartbeat {
        from: news(41, 1),
        others: others.collect(),
    };
    members.on_heartbeat(now, ip(41), told);
    assert!(members.should_watch(now));
    // Two that are answered are enough.
    members.on_heartbeat(now, ip(42), beat(42, 1));
    assert!(!members.should_watch(now));
}
