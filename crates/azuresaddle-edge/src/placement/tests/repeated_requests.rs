//! Tests of requests that a node sends to the owner more than once, since it received no decision.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::passes::{DEFAULT_PRIORITY, PlacementId};

use super::test_fleet::TestFleet;
use crate::peer::{PlaceMessage, PlaceReply};
use crate::placement::Owner;

/// Time in which the owner decides if there is room.
const SOON: Duration = Duration::from_millis(50);

fn message(number: u64) -> PlaceMessage {
    let long = Duration::from_secs(15);
    PlaceMessage {
        id: PlacementId { node: 2, number },
        service: "svc".to_owned(),
        account: ClientAccount::new("a"),
        domain: FailureDomain::new("d1"),
        prompt_tokens: 4000,
        answer_tokens: 800,
        first_event_in: Duration::from_secs(5),
        pause: Duration::from_millis(250),
        give_up_in: long,
        time_left: long,
        exclude: Vec::new(),
        suspect: None,
        is_redirected: false,
    }
}

/// Sends a request to the owner; dropping the result's task ends the call.
fn send(owner: &Arc<Owner>, number: u64) -> tokio::task::JoinHandle<PlaceReply> {
    let owner = Arc::clone(owner);
    tokio::spawn(async move { owner.place(message(number), DEFAULT_PRIORITY).await })
}

async fn soon(call: tokio::task::JoinHandle<PlaceReply>) -> PlaceReply {
    let reply = tokio::time::timeout(SOON, call).await;
    reply.expect("a decision in time").expect("no panic")
}

fn is_granted(reply: &PlaceReply) -> bool {
    matches!(reply, PlaceReply::Granted { .. })
}

/// Guards against streams that are never placed since the answer to their first request was lost.
#[tokio::test(start_paused = true)]
async fn a_request_whose_grant_was_lost_is_granted_again() {
    let mut fleet = TestFleet::open(&[1, 1], 1);
    let owner = Arc::clone(&fleet.node(1).owner);
    assert!(is_granted(&soon(send(&owner, 1)).await));
    assert!(is_granted(&soon(send(&owner, 1)).await));
    assert_eq!(fleet.node(1).running(), 1);
}

/// Guards against an earlier call that ends late and withdraws the request of the later one.
#[tokio::test(start_paused = true)]
async fn the_end_of_an_earlier_call_does_not_withdraw_the_request() {
    let mut fleet = TestFleet::open(&[1, 1], 1);
    let owner = Arc::clone(&fleet.node(1).owner);
    let placed = fleet.node(1).place().await.expect("no panic");
    let earlier = send(&owner, 1);
    tokio::time::sleep(SOON).await;
    let later = send(&owner, 1);
    tokio::time::sleep(SOON).await;
    earlier.abort();
    tokio::time::sleep(SOON).await;
    assert_eq!(fleet.node(1).waiting(), 1);
    drop(placed);
    assert!(is_granted(&soon(later).await));
}

/// Guards against requests that stay queued after their callers have left.
#[tokio::test(start_paused = true)]
async fn the_end_of_the_last_call_withdraws_the_request() {
    let mut fleet = TestFleet::open(&[1, 1], 1);
    let owner = Arc::clone(&fleet.node(1).owner);
    let _placed = fleet.node(1).place().await.expect("no panic");
    for number in [1, 1, 2] {
        let call = send(&owner, number);
        tokio::time::sleep(SOON).await;
        call.abort();
    }
    tokio::time::sleep(SOON).await;
    assert_eq!(fleet.node(1).waiting(), 0);
}

/// Guards against streams that are never placed since the owner took their node for failed for a moment.
#[tokio::test(start_paused = true)]
async fn a_request_of_a_node_that_was_taken_for_failed_is_placed() {
    let mut fleet = TestFleet::open(&[1, 1], 1);
    let first = fleet.node(1).place().await.expect("no panic");
    let placing = fleet.node(2).place();
    tokio::time::sleep(SOON).await;
    assert_eq!(fleet.node(1).waiting(), 1);
    fleet.set_live(1, &[1]);
    tokio::time::sleep(SOON).await;
    fleet.set_live(1, &[1, 2]);
    drop(first);
    let placed = tokio::time::timeout(Duration::from_millis(300), placing).await;
    assert!(
        placed
            .expect("a decision in time")
            .expect("no panic")
            .is_ok()
    );
}
