//! Tests of a node that hears no other node for a short time, takes itself for the owner and is missed by the others.

use std::time::Duration;

use super::test_fleet::{Placed, TestFleet};

/// Time in which a request is placed where an engine has room.
const SOON: Duration = Duration::from_millis(300);

/// Time in which a node sends its streams to the owner.
const SYNC_TIME: Duration = Duration::from_millis(1100);

/// Time for which the views differ.
const SILENCE: Duration = Duration::from_millis(500);

async fn within(time: Duration, placing: tokio::task::JoinHandle<Placed>) -> Placed {
    let placed = tokio::time::timeout(time, placing).await;
    placed.expect("a decision in time").expect("no panic")
}

/// Node 1 hears none of the others, which hear each other and keep node 3 as the owner.
fn split(fleet: &mut TestFleet) {
    fleet.publish(1, 1, &[1]);
    fleet.publish(2, 3, &[2, 3]);
    fleet.publish(3, 3, &[2, 3]);
}

fn heal(fleet: &mut TestFleet) {
    for node in 1..=3 {
        fleet.set_owner(node, 3);
    }
}

/// Guards against streams that are placed by none of two owners, or that the owner does not know afterwards.
#[tokio::test(start_paused = true)]
async fn streams_that_two_owners_placed_are_all_known_to_the_one_that_remains() {
    let mut fleet = TestFleet::open(&[3, 3, 3], 4);
    let before = within(SOON, fleet.node(1).place()).await.expect("placed");
    split(&mut fleet);
    let here = within(SOON, fleet.node(1).place()).await.expect("placed");
    let there = within(SOON, fleet.node(2).place()).await.expect("placed");
    tokio::time::sleep(SILENCE).await;
    heal(&mut fleet);
    tokio::time::sleep(SYNC_TIME).await;
    assert_eq!(fleet.node(3).running(), 3);
    drop((before, here, there));
    tokio::time::sleep(SYNC_TIME).await;
    assert_eq!(fleet.node(3).running(), 0);
}

/// Guards against a request that is placed by nobody when its node follows the owner again.
#[tokio::test(start_paused = true)]
async fn a_request_that_waits_at_a_node_that_was_its_own_owner_is_placed_by_the_one_that_remains() {
    let mut fleet = TestFleet::open(&[3, 3, 3], 1);
    let first = within(SOON, fleet.node(1).place()).await.expect("placed");
    split(&mut fleet);
    let placing = fleet.node(1).place();
    tokio::time::sleep(SILENCE).await;
    assert!(!placing.is_finished());
    heal(&mut fleet);
    drop(first);
    assert!(within(SOON, placing).await.is_ok());
}

/// Guards against a request that leaves the owner's queue for an engine that has no room, since its node does not know the
/// streams of others.
#[tokio::test(start_paused = true)]
async fn a_request_keeps_its_place_at_the_owner_through_a_short_silence_of_heartbeats() {
    let mut fleet = TestFleet::open(&[3, 3, 3], 1);
    let first = within(SOON, fleet.node(2).place()).await.expect("placed");
    let placing = fleet.node(1).place();
    tokio::time::sleep(SOON).await;
    split(&mut fleet);
    tokio::time::sleep(SILENCE).await;
    assert!(!placing.is_finished());
    heal(&mut fleet);
    drop(first);
    assert!(within(SYNC_TIME, placing).await.is_ok());
}

/// Guards against an owner that places on a full engine since it hears a node again but has dropped that node's streams.
#[tokio::test(start_paused = true)]
async fn an_owner_knows_the_streams_of_a_node_that_it_hears_again_before_it_places() {
    // Whether the request or the list of streams arrives first differs from time to time.
    for _ in 0..40 {
        let mut fleet = TestFleet::open(&[3, 3, 3], 1);
        let _first = within(SOON, fleet.node(1).place()).await.expect("placed");
        split(&mut fleet);
        let placing = fleet.node(1).place();
        tokio::time::sleep(SILENCE).await;
        heal(&mut fleet);
        tokio::time::sleep(SYNC_TIME).await;
        assert!(!placing.is_finished());
    }
}
