//! Tests of the number of nodes that may be running, by which the retry budget is divided.

use std::time::Duration;

use tokio::time::Instant;

use super::members::{advance, digest, heartbeat, ip, members, state};
use crate::control::members::{Members, TICK};

/// Time after which a node that announced its shutdown and fell silent no longer counts.
const LEFT_AFTER: Duration = Duration::from_secs(20);

/// Time after which a node that fell silent without a shutdown no longer counts.
const LOST_AFTER: Duration = Duration::from_secs(3620);

/// Node 3, which has heard of all others of seven nodes.
fn informed(now: Instant) -> Members {
    let mut members = members(now, 3);
    for other in [1, 2, 4, 5, 6, 7] {
        members.on_heartbeat(now, ip(other), &heartbeat(other, 1));
    }
    members
}

/// Guards against a node on the small side of a long partition that takes the shares of all others.
#[tokio::test(start_paused = true)]
async fn nodes_behind_a_partition_count_as_running_for_an_hour() {
    let start = Instant::now();
    let mut members = informed(start);
    let now = advance(&mut members, start, Duration::from_secs(60));
    assert_eq!(members.live_nodes(now).0.len(), 1);
    assert_eq!(members.running_nodes(), 7);
    // In the rest of the time only the last ticks matter.
    members.on_tick(start + LOST_AFTER - Duration::from_secs(2));
    assert_eq!(members.running_nodes(), 7);
}

/// Guards against a survivor whose share stays small for good after all others were killed.
#[tokio::test(start_paused = true)]
async fn killed_nodes_count_as_running_for_no_longer_than_an_hour() {
    let start = Instant::now();
    let mut members = informed(start);
    advance(&mut members, start, LOST_AFTER + TICK);
    assert_eq!(members.running_nodes(), 1);
}

/// Guards against a survivor whose share stays small for an hour after a planned shutdown of others.
#[tokio::test(start_paused = true)]
async fn nodes_that_shut_down_do_not_count_as_running_once_they_have_left_the_member_list() {
    let start = Instant::now();
    let mut members = informed(start);
    for other in [1, 2, 4, 5, 6, 7] {
        let mut leaving = heartbeat(other, 2);
        leaving.from.is_leaving = true;
        members.on_heartbeat(start, ip(other), &leaving);
    }
    let now = advance(&mut members, start, LEFT_AFTER - TICK);
    assert_eq!(members.running_nodes(), 7);
    members.on_tick(now + TICK);
    assert_eq!(members.running_nodes(), 1);
}

/// Guards against traffic that keeps the smaller share because no snapshot follows the shutdown.
#[tokio::test(start_paused = true)]
async fn a_smaller_number_of_running_nodes_is_a_change() {
    let start = Instant::now();
    let mut members = informed(start);
    let mut leaving = heartbeat(7, 2);
    leaving.from.is_leaving = true;
    members.on_heartbeat(start, ip(7), &leaving);
    let now = advance(&mut members, start, LEFT_AFTER - TICK);
    assert!(members.on_tick(now + TICK));
    assert_eq!(members.running_nodes(), 6);
}

/// Guards against shares that shrink with each restart, or each end of a partition.
#[tokio::test(start_paused = true)]
async fn a_host_that_is_back_counts_once() {
    let start = Instant::now();
    let mut members = informed(start);
    let now = advance(&mut members, start, Duration::from_secs(30));
    members.on_heartbeat(now, ip(1), &heartbeat(1, 300));
    let mut restarted = heartbeat(2, 1);
    restarted.from.incarnation = 77;
    members.on_heartbeat(now, ip(2), &restarted);
    assert_eq!(members.running_nodes(), 7);
    let now = advance(&mut members, now, Duration::from_secs(30));
    members.on_heartbeat(now, ip(1), &heartbeat(1, 600));
    assert_eq!(members.running_nodes(), 7);
}

/// Guards against a node that takes the whole budget between its start and the first heartbeats.
#[tokio::test(start_paused = true)]
async fn a_starting_node_counts_its_seeds_and_the_nodes_that_a_seed_names() {
    let start = Instant::now();
    let mut members = members(start, 9);
    members.started_at = start;
    assert_eq!(members.running_nodes(), 3, "itself and two seeds");
    let mut first = heartbeat(1, 1);
    first.digests = (2..=80).map(|n| digest(n, 5)).collect();
    assert!(members.on_heartbeat(start, ip(1), &first));
    assert_eq!(members.running_nodes(), 80, "states are still unknown");
    let states: Vec<_> = (2..=80).map(|n| state(n, 5)).collect();
    members.on_states(start, &states);
    assert_eq!(members.running_nodes(), 80);
}

/// Guards against a node that starts on the other side of a partition and takes itself for the only one.
#[tokio::test(start_paused = true)]
async fn a_node_that_starts_cut_off_counts_its_seeds() {
    let start = Instant::now();
    let mut members = members(start, 9);
    members.started_at = start;
    advance(&mut members, start, Duration::from_secs(60));
    assert_eq!(members.running_nodes(), 3);
}
