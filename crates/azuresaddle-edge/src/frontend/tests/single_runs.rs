//! Tests of plain requests that may run once, while all targets are silent and something else happens.

use std::time::Duration;

use tokio::time::sleep;

use super::caller::{ask, time_limit};
use super::scripted_targets::{Reply, ScriptedTargets};
use super::test_node::{TestNode, TestOptions};
use crate::shutdown::ShutdownStage;

/// A route whose requests may run once.
const PATH: &str = "/plain/1";

/// Time of an answer from a target that is silent for more than a second.
const LATE: Duration = Duration::from_millis(1780);

/// Time from the request to what happens beside the silence.
const BESIDE: Duration = Duration::from_millis(600);

fn node() -> TestNode {
    TestNode::open(TestOptions {
        has_second_target: true,
        shares_health: true,
        ..TestOptions::default()
    })
}

/// Requests to each target, which are all late.
async fn assert_answered(beside: impl FnOnce(&TestNode)) {
    const REQUESTS: usize = 4;
    let mut node = node();
    let targets = ScriptedTargets::open(&mut node, &[Reply::Ok(LATE); REQUESTS]);
    let asks: Vec<_> = (0..REQUESTS).map(|_| ask(&node, PATH, "")).collect();
    sleep(BESIDE).await;
    beside(&node);
    for asked in asks {
        assert_eq!(asked.await.unwrap(), ("200".to_owned(), LATE));
    }
    let seen = targets.seen();
    assert_eq!(seen.len(), REQUESTS, "each of them runs once");
    assert!(seen.iter().all(|s| s.cancelled_at.is_none()));
}

/// Guards against requests that lose their answer since a version of the configuration comes into force in a silence.
#[tokio::test(start_paused = true)]
async fn a_silence_beside_a_configuration_change_loses_no_request_that_may_run_once() {
    assert_answered(|node| node.change_routes(|all| all[1].latency_target /= 10)).await;
    assert_answered(|node| node.change_routes(|all| all[1].timeout /= 10)).await;
    assert_answered(|node| node.change_routes(|all| drop(all.remove(1)))).await;
}

/// Guards against requests that lose their answer since their silent targets are drained or removed.
#[tokio::test(start_paused = true)]
async fn silent_targets_that_are_removed_answer_their_requests() {
    assert_answered(TestNode::remove_targets).await;
}

/// Guards against requests that a stopping node ends while their targets are silent.
#[tokio::test(start_paused = true)]
async fn a_silence_beside_a_stop_loses_no_request_that_may_run_once() {
    assert_answered(|node| {
        node.shutdown.enter(ShutdownStage::Closing);
        node.shutdown.enter(ShutdownStage::Refusing);
    })
    .await;
}

/// Guards against a request that is ended before its deadline, or held beyond it, and against a second run.
#[tokio::test(start_paused = true)]
async fn a_request_that_may_run_once_is_ended_at_its_deadline_and_no_sooner() {
    let limit = Duration::from_millis(2500);
    let mut node = node();
    let targets = ScriptedTargets::open(&mut node, &[Reply::Never]);
    let asked = ask(&node, PATH, &time_limit(limit));
    sleep(BESIDE).await;
    node.change_routes(|all| all[1].timeout = Duration::from_secs(1));
    assert_eq!(asked.await.unwrap(), ("504".to_owned(), limit));
    assert_eq!(targets.seen().len(), 1);
}

/// Guards against a request that runs after a stopping node has refused it: it waited for a connection.
#[tokio::test(start_paused = true)]
async fn a_request_that_is_refused_while_no_target_accepts_a_connection_never_runs() {
    let mut node = node();
    let connections = node.target.pause();
    let pause = connections.write().await;
    let targets = ScriptedTargets::open(&mut node, &[]);
    let asked = ask(&node, PATH, "");
    sleep(BESIDE).await;
    node.shutdown.enter(ShutdownStage::Closing);
    node.shutdown.enter(ShutdownStage::Refusing);
    assert_eq!(asked.await.unwrap(), ("503".to_owned(), BESIDE));
    drop(pause);
    sleep(LATE).await;
    assert_eq!(targets.seen().len(), 0);
}
