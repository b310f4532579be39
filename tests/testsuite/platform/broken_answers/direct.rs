//! Nodes that reach the targets themselves.

use std::time::Duration;

use azuresaddle_standin::soak::{Fleet, NodeProcess};

use super::cases::{
    Case, ambiguous_lengths, answers_with_excess, cut_answers, cut_events, early_resets,
    endless_answers, endless_events, odd_back_offs, odd_fields, odd_headers, odd_lengths,
    odd_status_lines, statuses_without_class, unasked_upgrades,
};
use super::{
    APPLY_TIME, MAX_GROWTH_BYTES, POLL_INTERVAL, Play, Services, add_cases, assert_outcomes,
};
use crate::platform::support::{fleet, plain, status, stream};

/// Time between two requests to targets without faults.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Starts a node whose targets answer as in the cases.
pub(super) async fn open(test: &str, cases: Vec<(Vec<Case>, Services)>) -> (Fleet, Vec<Play>) {
    let mut fleet = fleet(test, 1).await;
    let (mut next, mut plays) = (0, Vec::new());
    for (cases, services) in cases {
        plays.extend(add_cases(&mut fleet.platform, cases, services, &mut next).await);
    }
    fleet.platform.change_configuration(|_| {});
    tokio::time::sleep(APPLY_TIME).await;
    (fleet, plays)
}

/// Largest memory of a node, sampled for ever; in `largest`.
async fn watch_memory(node: &NodeProcess, largest: &mut u64) {
    loop {
        *largest = node.resident_bytes().unwrap_or(0).max(*largest);
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Sends requests to the targets without faults for ever, and counts those that were not served.
async fn ask_others(node: &NodeProcess, failed: &mut usize) {
    loop {
        for asked in [plain("/note/1"), plain("/post/1"), stream("/ask/1", 900, 3)] {
            *failed += usize::from(status(node, &asked).await != 200);
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
}

/// Expects that callers of all routes see that they have no complete answer.
async fn assert_failures(test: &str, cases: Vec<Case>) {
    let (fleet, plays) = open(test, vec![(cases, Services::All)]).await;
    assert_outcomes(fleet.nodes[0].callers_addr(), &fleet.platform, &plays).await;
}

/// Guards against answers that broke off but reach the caller as complete ones.
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_break_off_are_not_forwarded_as_complete() {
    let cases = vec![
        (cut_answers(), Services::All),
        (cut_events(), Services::Engines),
    ];
    let (fleet, plays) = open("broken-answers", cases).await;
    assert_outcomes(fleet.nodes[0].callers_addr(), &fleet.platform, &plays).await;
}

/// Guards against a node that reads from a target without end.
#[tokio::test(flavor = "multi_thread")]
async fn answers_without_end_take_bounded_time_and_memory() {
    let cases = [endless_answers(), answers_with_excess()].concat();
    let cases = vec![
        (cases, Services::All),
        (endless_events(), Services::Engines),
    ];
    let (fleet, plays) = open("endless-answers", cases).await;
    let node = &fleet.nodes[0];
    let before = node.resident_bytes().unwrap();
    let (mut largest, mut failed) = (before, 0);
    tokio::select! {
        () = assert_outcomes(node.callers_addr(), &fleet.platform, &plays) => {}
        () = watch_memory(node, &mut largest) => {}
        () = ask_others(node, &mut failed) => {}
    }
    assert_eq!(failed, 0, "requests to other targets failed");
    let grown = (largest - before) >> 20;
    assert!(largest - before <= MAX_GROWTH_BYTES, "grew by {grown} MiB");
}

/// Guards against headers for which a whole answer is lost.
#[tokio::test(flavor = "multi_thread")]
async fn odd_header_values_lose_no_answer() {
    let loads = [
        "",
        "-1,0,1",
        "1,0",
        "1,0,NaN",
        "4294967296,0,1",
        "1,0,1e400",
        "4294967295,4294967295,1",
        "18446744073709551615,0,0",
    ];
    let keep_alive = [
        "timeout=18446744073709551616",
        "timeout=-1",
        "timeout=0",
        "timeout=1e3",
        "timeout=",
        "max=0",
        ",,,",
    ];
    let numbers = [
        "",
        "-1",
        "1e400",
        "NaN",
        "inf",
        "18446744073709551615",
        "18446744073709551616",
        "0",
    ];
    let dates = [
        "",
        "0",
        "Thu, 01 Jan 1970 00:00:00 GMT",
        "Fri, 31 Dec 9999 23:59:59 GMT",
        "never",
    ];
    let cases = [
        odd_headers("keep-alive", &keep_alive),
        odd_headers("date", &dates),
        odd_headers("server-limit", &["", "NaN", "inf", "1e400", "no number"]),
        odd_headers("retry-after", &[&numbers[..], &dates[..]].concat()),
        odd_headers(azuresaddle_platform::headers::TARGET_LOAD.as_str(), &loads),
    ]
    .concat();
    assert_served("odd-headers", cases).await;
}

/// Guards against a back-off that ends the task that reads it.
#[tokio::test(flavor = "multi_thread")]
async fn odd_back_offs_are_refusals() {
    let values = [
        "",
        "-1",
        "1e400",
        "1e22",
        "NaN",
        "inf",
        "18446744073709551615",
        "18446744073709551616",
        "Thu, 01 Jan 1970 00:00:00 GMT",
        "Fri, 31 Dec 9999 23:59:59 GMT",
        "never",
    ];
    assert_failures("odd-back-offs", odd_back_offs(&values)).await;
}

/// Guards against requests that fail although another target can serve them.
#[tokio::test(flavor = "multi_thread")]
async fn requests_whose_answers_break_off_are_served_by_other_targets() {
    let cases = vec![(cut_answers(), Services::Redundant)];
    let (fleet, plays) = open("redundant-answers", cases).await;
    assert_outcomes(fleet.nodes[0].callers_addr(), &fleet.platform, &plays).await;
}

/// Guards against an answer that is lost because its connection is to be kept for longer than the clock can tell.
#[tokio::test(flavor = "multi_thread")]
async fn a_keep_alive_time_beyond_the_clock_loses_no_answer() {
    let values = [
        "timeout=9223372036854775807",
        "timeout=18446744073709551615",
    ];
    assert_served("odd-keep-alive", odd_headers("keep-alive", &values)).await;
}

/// Expects that answers are forwarded, also those of targets that have answered before.
async fn assert_served(test: &str, cases: Vec<Case>) {
    let (fleet, plays) = open(test, vec![(cases, Services::All)]).await;
    for _ in 0..2 {
        assert_outcomes(fleet.nodes[0].callers_addr(), &fleet.platform, &plays).await;
    }
}

/// Guards against a length that can't be read but is taken for one.
#[tokio::test(flavor = "multi_thread")]
async fn answers_with_odd_lengths_are_not_forwarded_as_complete() {
    assert_failures("odd-lengths", odd_lengths()).await;
}

/// Guards against a head that leaves open where the body ends, and is read until the connection closes.
#[tokio::test(flavor = "multi_thread")]
async fn answers_with_ambiguous_lengths_are_not_forwarded_as_complete() {
    assert_failures("ambiguous-lengths", ambiguous_lengths()).await;
}

/// Guards against an answer that switches the protocol of a connection on which callers sent requests.
#[tokio::test(flavor = "multi_thread")]
async fn upgrades_that_nobody_asked_for_are_not_forwarded() {
    assert_failures("unasked-upgrades", unasked_upgrades()).await;
}

/// Guards against an answer of which callers can't tell whether it is a success or a failure.
#[tokio::test(flavor = "multi_thread")]
async fn statuses_without_class_are_not_forwarded() {
    assert_failures("no-class", statuses_without_class()).await;
}

/// Guards against a status line that can't be read but is taken for an answer.
#[tokio::test(flavor = "multi_thread")]
async fn answers_with_odd_status_lines_are_not_forwarded() {
    assert_failures("odd-status-lines", odd_status_lines()).await;
}

/// Guards against a line of a head that is no field and is dropped or passed on.
#[tokio::test(flavor = "multi_thread")]
async fn answers_with_lines_that_are_no_field_are_not_forwarded() {
    assert_failures("odd-fields", odd_fields()).await;
}

/// Guards against the start of an answer that looks complete once the write of the request has met the reset.
#[tokio::test(flavor = "multi_thread")]
async fn early_answers_to_uploads_that_are_reset_are_not_forwarded_as_complete() {
    assert_failures("early-resets", early_resets()).await;
}
