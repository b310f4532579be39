//! Calls of the node itself to targets whose answers break the protocol.

use super::Services;
use super::assert_outcomes;
use super::cases::{cut_answers, endless_answers};
use super::direct::open;

/// Guards against a reservation of memory that waits for an answer without end, or takes a broken one for a success.
#[tokio::test(flavor = "multi_thread")]
async fn reservations_whose_answers_are_none_end_in_time() {
    let cases = [cut_answers(), endless_answers()].concat();
    let (fleet, plays) = open("broken-reservations", vec![(cases, Services::EngineGroup)]).await;
    assert_outcomes(fleet.nodes[0].callers_addr(), &fleet.platform, &plays).await;
}
