//! Tests of a node that cannot reach the owner, while the other nodes can.

use std::time::Duration;

use super::test_fleet::{Placed, TestFleet};

/// Time in which the streams of such a node are placed: a part of the time that callers wait.
const PLACEMENT_TIMEOUT: Duration = Duration::from_millis(3500);

/// Time in which a node sends its streams to the owner, with a new connection.
const SYNC_TIME: Duration = Duration::from_millis(1100);

/// Times after the start of the node at which a stream arrives. They cover an interval between two syncs to the owner.
fn arrivals() -> impl Iterator<Item = Duration> {
    (0..20).map(|n| Duration::from_millis(n * 50))
}

async fn is_placed(time: Duration, placing: tokio::task::JoinHandle<Placed>) -> bool {
    let placed = tokio::time::timeout(time, placing).await;
    placed.is_ok_and(|p| p.expect("no panic").is_ok())
}

/// Checks that node 1 places streams while it cannot reach node 3, which the other nodes take for the owner.
async fn assert_placed_without_owner(owners: &[u64]) {
    let mut late = Vec::new();
    for arrival in arrivals() {
        let mut fleet = TestFleet::open(owners, 4);
        fleet.set_reachable(1, 3, false);
        tokio::time::sleep(arrival).await;
        let placing = fleet.node(1).place();
        if !is_placed(PLACEMENT_TIMEOUT, placing).await {
            late.push(arrival);
        }
    }
    assert!(late.is_empty(), "{late:?}");
}

/// Guards against callers of a node that waits for the owner until they leave, since no other node misses the owner.
#[tokio::test(start_paused = true)]
async fn streams_of_a_node_that_cannot_reach_the_owner_are_placed() {
    assert_placed_without_owner(&[3, 3, 3]).await;
}

/// Guards against the same for a stream that waits at the owner when the path to it is lost.
#[tokio::test(start_paused = true)]
async fn a_stream_that_waits_at_an_owner_that_cannot_be_reached_any_more_is_placed() {
    let mut late = Vec::new();
    for arrival in arrivals() {
        let mut fleet = TestFleet::open(&[3, 3, 3], 1);
        let first = fleet.node(2).place().await.expect("no panic");
        let first = first.expect("placed");
        tokio::time::sleep(arrival).await;
        let placing = fleet.node(1).place();
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(fleet.node(3).waiting(), 1);
        fleet.node(3).spawner.freeze();
        drop(first);
        if !is_placed(PLACEMENT_TIMEOUT, placing).await {
            late.push(arrival);
        }
    }
    assert!(late.is_empty(), "{late:?}");
}

/// Guards against the same for a node that takes another one for the owner, which redirects it.
#[tokio::test(start_paused = true)]
async fn a_stream_that_is_redirected_to_an_owner_that_cannot_be_reached_is_placed() {
    assert_placed_without_owner(&[2, 3, 3]).await;
}

/// Guards against a node that places on its own while it reaches the owner again.
#[tokio::test(start_paused = true)]
async fn a_node_that_reaches_the_owner_again_leaves_placement_to_it() {
    let mut fleet = TestFleet::open(&[3, 3, 3], 1);
    fleet.set_reachable(1, 3, false);
    let first = fleet.node(1).place();
    assert!(is_placed(PLACEMENT_TIMEOUT, first).await);
    fleet.set_reachable(1, 3, true);
    tokio::time::sleep(SYNC_TIME).await;
    let running = fleet.node(2).place().await.expect("no panic");
    let running = running.expect("placed");
    let placing = fleet.node(1).place();
    tokio::time::sleep(PLACEMENT_TIMEOUT).await;
    assert_eq!(fleet.node(3).waiting(), 1);
    drop(running);
    assert!(is_placed(PLACEMENT_TIMEOUT, placing).await);
}

/// Guards against two nodes that place on the same engines after each short stall of the owner.
#[tokio::test(start_paused = true)]
async fn a_request_waits_for_an_owner_that_stalls_for_less_than_a_second() {
    for arrival in arrivals() {
        let mut fleet = TestFleet::open(&[3, 3, 3], 1);
        let first = fleet.node(2).place().await.expect("no panic");
        let first = first.expect("placed");
        tokio::time::sleep(arrival).await;
        let placing = fleet.node(1).place();
        tokio::time::sleep(Duration::from_millis(100)).await;
        fleet.node(3).spawner.freeze();
        tokio::time::sleep(Duration::from_millis(900)).await;
        fleet.node(3).spawner.thaw();
        tokio::time::sleep(SYNC_TIME).await;
        assert!(!placing.is_finished(), "arrival after {arrival:?}");
        assert_eq!(fleet.node(3).waiting(), 1, "arrival after {arrival:?}");
        drop(first);
        assert!(is_placed(PLACEMENT_TIMEOUT, placing).await);
    }
}

/// Guards against a node that goes on placing by itself after the owner that it could not reach was replaced.
#[tokio::test(start_paused = true)]
async fn a_new_owner_is_asked_after_one_that_could_not_be_reached() {
    let mut fleet = TestFleet::open(&[3, 3, 3], 1);
    fleet.set_reachable(1, 3, false);
    assert!(is_placed(PLACEMENT_TIMEOUT, fleet.node(1).place()).await);
    for node in [1, 2, 3] {
        fleet.set_owner(node, 2);
    }
    let running = fleet.node(2).place().await.expect("no panic");
    let running = running.expect("placed");
    let placing = fleet.node(1).place();
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(fleet.node(2).waiting(), 1);
    drop(running);
    assert!(is_placed(PLACEMENT_TIMEOUT, placing).await);
}
