//! Tests of the nodes among which addresses are selected.

use std::time::Duration;

use azuresaddle_sched::addresses::{LoadLevel, StatedLoad};
use tokio::time::Instant;

use super::members::{advance, heartbeat, ip, members};
use crate::control::heartbeat::Heartbeat;
use crate::control::members::{Members, TICK};

/// Time within which a change of the candidates is published.
const CHECKED: Duration = Duration::from_secs(1);

/// Lets all nodes but the first, which this is, send heartbeats; returns whether a change was to be published.
fn exchange(
    members: &mut Members,
    now: &mut Instant,
    nodes: u16,
    length: Duration,
    change: impl Fn(&mut Heartbeat),
) -> bool {
    let end = *now + length;
    let mut changed = false;
    while *now < end {
        *now += TICK;
        changed |= members.on_tick(*now);
        for n in 2..=nodes {
            let mut heartbeat = heartbeat(n, members.ticks);
            change(&mut heartbeat);
            members.on_heartbeat(*now, ip(n), &heartbeat);
        }
    }
    changed
}

fn unchanged(_: &mut Heartbeat) {}

fn has_small_hosts(heartbeat: &mut Heartbeat) {
    heartbeat.from.cpu_milli = 120;
}

/// Guards against answers that keep a node that fell silent beyond the first 64 of the ranking.
#[tokio::test(start_paused = true)]
async fn a_silent_node_beyond_the_first_answers_is_published() {
    // In a fleet of this size a silent node counts as failed after 8 s, and is no longer offered after 4 s.
    let nodes = 800;
    let mut now = Instant::now();
    let mut members = members(now, 1);
    exchange(&mut members, &mut now, nodes, 3 * CHECKED, unchanged);
    assert!(members.selects_addresses());
    assert!(!exchange(
        &mut members,
        &mut now,
        nodes,
        3 * CHECKED,
        unchanged
    ));
    // The last node is the lowest in the ranking.
    let last = u64::from(nodes) * 1000;
    let is_offered = |m: &Members, now| {
        let (nodes, _) = m.live_nodes(now);
        nodes
            .iter()
            .any(|n| n.incarnation == last && n.takes_callers)
    };
    assert!(is_offered(&members, now));
    assert!(exchange(
        &mut members,
        &mut now,
        nodes - 1,
        6 * CHECKED,
        unchanged
    ));
    assert!(!is_offered(&members, now));
}

/// Guards against answers that send a host as much as before although it now watches the store or is loaded.
#[tokio::test(start_paused = true)]
async fn changes_of_weights_are_published() {
    let mut now = Instant::now();
    let mut members = members(now, 1);
    exchange(&mut members, &mut now, 9, 3 * CHECKED, has_small_hosts);
    assert!(members.selects_addresses());
    assert!(!exchange(
        &mut members,
        &mut now,
        9,
        3 * CHECKED,
        has_small_hosts
    ));
    let stops_watching = |h: &mut Heartbeat| {
        has_small_hosts(h);
        h.from.is_watching = h.from.ip != ip(5);
    };
    assert!(exchange(
        &mut members,
        &mut now,
        9,
        2 * CHECKED,
        stops_watching
    ));
    assert!(!exchange(
        &mut members,
        &mut now,
        9,
        2 * CHECKED,
        stops_watching
    ));
    let stated = StatedLoad {
        level: LoadLevel::High,
        number: 1,
        stated_at: now,
    };
    members.loads.on_stated(now, 6000, stated);
    assert!(exchange(
        &mut members,
        &mut now,
        9,
        2 * CHECKED,
        stops_watching
    ));
    let (nodes, _) = members.live_nodes(now);
    let loaded = nodes.iter().find(|n| n.incarnation == 6000).unwrap();
    assert_eq!(loaded.load, LoadLevel::High);
}

/// Guards against additional snapshots in fleets whose callers all get the same answer.
#[tokio::test(start_paused = true)]
async fn changes_of_weights_do_not_matter_to_a_small_fleet_of_equal_hosts() {
    let mut now = Instant::now();
    let mut members = members(now, 1);
    exchange(&mut members, &mut now, 9, 3 * CHECKED, unchanged);
    assert!(!members.selects_addresses());
    let stops_watching = |h: &mut Heartbeat| h.from.is_watching = false;
    assert!(!exchange(
        &mut members,
        &mut now,
        9,
        3 * CHECKED,
        stops_watching
    ));
}

/// Guards against a node that takes others for silent after it was cut off for a moment, and then answers with few.
#[tokio::test(start_paused = true)]
async fn a_node_that_is_cut_off_for_a_moment_keeps_its_candidates() {
    let mut now = Instant::now();
    let mut members = members(now, 1);
    exchange(&mut members, &mut now, 80, 3 * CHECKED, unchanged);
    now = advance(&mut members, now, 2 * CHECKED);
    let (nodes, _) = members.live_nodes(now);
    assert_eq!(nodes.iter().filter(|n| n.takes_callers).count(), 80);
}
