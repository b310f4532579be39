//! Calls of the node itself to targets whose answers break the protocol.

use super::Services;
use super::assert_outcomes;
use super::cases::{
    ambiguous_lengths, cut_answers, endless_answers, odd_fields, odd_status_lines,
    statuses_without_class, unasked_upgrades,
};
use super::direct::open;

/// Guards against a reservation of memory that waits for an answer without end, or takes a broken one for a success.
#[tokio::test(flavor = "multi_thread")]
async fn reservations_whose_answers_are_none_end_in_time() {
    let cases = [cut_answers(), endless_answers()].concat();
    let (fleet, plays) = open("broken-reservations", vec![(cases, Services::EngineGroup)]).await;
    assert_outcomes(fleet.nodes[0].callers_addr(), &fleet.platform, &plays).await;
}

/// Guards against a reservation of memory that is taken for granted although the head of its answer can't be read.
#[tokio::test(flavor = "multi_thread")]
async fn reservations_whose_answers_have_odd_heads_are_not_used() {
    let cases = [
        ambiguous_lengths(),
        unasked_upgrades(),
        statuses_without_class(),
        odd_status_lines(),
        odd_fields(),
    ];
    let cases = vec![(cases.concat(), Services::EngineGroup)];
    let (fleet, plays) = open("odd-reservations", cases).await;
    assert_outcomes(fleet.nodes[0].callers_addr(), &fleet.platform, &plays).await;
}
