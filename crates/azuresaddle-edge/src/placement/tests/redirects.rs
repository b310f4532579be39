//! Tests of requests that reach an owner that another node replaces.

use std::time::Duration;

use super::test_fleet::{Placed, TestFleet};

/// Time in which a request is placed once the new owner acts as such, far below the deadline.
const SOON: Duration = Duration::from_millis(300);

/// Time that control takes to publish a claim.
const PUBLISH_TIME: Duration = Duration::from_millis(5);

/// Time in which a node reports an owner that answers no calls: the interval of syncs and the timeout of one.
const REPORT_TIME: Duration = Duration::from_millis(1050);

async fn within(time: Duration, placing: tokio::task::JoinHandle<Placed>) -> Placed {
    let placed = tokio::time::timeout(time, placing).await;
    placed.expect("a decision in time").expect("no panic")
}

/// Guards against streams that wait for a stopped owner until their callers leave, although the new one is known.
#[tokio::test(start_paused = true)]
async fn a_request_redirected_to_a_frozen_owner_is_placed_by_the_new_one() {
    // Node 2 has announced that it is the owner, but does not act on it yet.
    let mut fleet = TestFleet::open(&[2, 3, 3], 1);
    fleet.node(3).spawner.freeze();
    let placing = fleet.node(1).place();
    tokio::time::sleep(PUBLISH_TIME).await;
    fleet.set_owner(2, 2);
    assert!(within(SOON, placing).await.is_ok());
}

/// Guards against a request that waits at a live node that is no owner any more, and counts streams that have ended.
#[tokio::test(start_paused = true)]
async fn a_request_redirected_to_a_replaced_owner_without_room_is_placed_by_the_new_one() {
    let mut fleet = TestFleet::open(&[3, 3, 3], 1);
    let first = within(SOON, fleet.node(3).place()).await.expect("placed");
    fleet.set_owner(1, 2);
    let placing = fleet.node(1).place();
    tokio::time::sleep(PUBLISH_TIME).await;
    fleet.set_owner(2, 2);
    assert!(within(SOON, placing).await.is_ok());
    drop(first);
}

/// Guards against a request that loses its place at the owner because the requesting node does not know that one yet.
#[tokio::test(start_paused = true)]
async fn a_request_redirected_to_an_owner_without_room_waits_there() {
    let mut fleet = TestFleet::open(&[2, 3, 3], 1);
    let first = within(SOON, fleet.node(3).place()).await.expect("placed");
    let placing = fleet.node(1).place();
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(fleet.node(3).waiting(), 1);
    drop(first);
    assert!(within(SOON, placing).await.is_ok());
    assert_eq!(fleet.node(2).waiting(), 0);
}

/// Guards against a request that is redirected forever.
#[tokio::test(start_paused = true)]
async fn two_nodes_that_redirect_to_each_other_place_a_request() {
    let mut fleet = TestFleet::open(&[2, 3, 2], 1);
    let placing = fleet.node(1).place();
    assert!(within(SOON, placing).await.is_ok());
}

/// Guards against a redirect that ends with the node that gave it.
#[tokio::test(start_paused = true)]
async fn a_redirected_request_is_placed_though_the_redirecting_node_stops() {
    let mut fleet = TestFleet::open(&[2, 3, 3], 1);
    let first = within(SOON, fleet.node(3).place()).await.expect("placed");
    let placing = fleet.node(1).place();
    tokio::time::sleep(PUBLISH_TIME).await;
    fleet.node(2).spawner.kill();
    tokio::time::sleep(Duration::from_secs(1)).await;
    drop(first);
    assert!(within(SOON, placing).await.is_ok());
}

/// Guards against a request that stays queued at an owner that stops, and is counted there when it resumes.
#[tokio::test(start_paused = true)]
async fn a_request_queued_at_an_owner_that_freezes_is_placed_by_the_new_one() {
    let mut fleet = TestFleet::open(&[3, 3, 3], 1);
    let first = within(SOON, fleet.node(3).place()).await.expect("placed");
    let placing = fleet.node(1).place();
    tokio::time::sleep(PUBLISH_TIME).await;
    assert_eq!(fleet.node(3).waiting(), 1);
    fleet.node(3).spawner.freeze();
    for node in [1, 2] {
        fleet.set_owner(node, 2);
    }
    assert!(within(SOON, placing).await.is_ok());
    fleet.node(3).spawner.thaw();
    tokio::time::sleep(SOON).await;
    assert_eq!(fleet.node(3).waiting(), 0);
    drop(first);
}

/// Guards against an owner that answers heartbeats but no calls, of which control does not learn.
#[tokio::test(start_paused = true)]
async fn an_owner_that_answers_no_calls_is_reported_while_a_request_waits() {
    let mut fleet = TestFleet::open(&[3, 3, 3], 1);
    fleet.node(3).spawner.freeze();
    let placing = fleet.node(1).place();
    let reported = fleet.node(1).unresponsive_owners.recv();
    let reported = tokio::time::timeout(REPORT_TIME, reported).await;
    assert_eq!(reported, Ok(Some(3)));
    for node in [1, 2] {
        fleet.set_owner(node, 2);
    }
    assert!(within(SOON, placing).await.is_ok());
}
