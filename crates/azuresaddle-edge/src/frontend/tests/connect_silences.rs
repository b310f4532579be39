//! Tests of plain requests while their targets accept no connection.

use std::time::Duration;

use tokio::time::sleep;

use super::caller::{ask, time_limit};
use super::scripted_targets::{Reply, ScriptedTargets};
use super::test_node::{TestNode, TestOptions};

/// A pause of sound targets.
const PAUSE: Duration = Duration::from_millis(1300);

/// Time in which a request is refused if no target is expected to take it.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Routes whose requests may be repeated, and may run once.
const PATHS: [&str; 2] = ["/idempotent/1", "/plain/1"];

/// Nodes with one and two targets, which share what they observe or not.
fn nodes() -> impl Iterator<Item = (TestNode, String)> {
    let cases = [(false, false), (false, true), (true, false), (true, true)];
    cases.into_iter().map(|(has_second_target, shares_health)| {
        let node = TestNode::open(TestOptions {
            has_second_target,
            shares_health,
            ..TestOptions::default()
        });
        let case = format!("two targets: {has_second_target}, shared health: {shares_health}");
        (node, case)
    })
}

/// Guards against requests that are refused since all targets pause for a moment, though they have time left.
#[tokio::test(start_paused = true)]
async fn a_pause_in_which_no_target_accepts_a_connection_refuses_no_request() {
    for path in PATHS {
        for (mut node, case) in nodes() {
            let connections = node.target.pause();
            let pause = connections.write().await;
            let targets = ScriptedTargets::open(&mut node, &[]);
            let asked = ask(&node, path, "");
            sleep(PAUSE / 2).await;
            let later = ask(&node, path, "");
            sleep(PAUSE / 2).await;
            drop(pause);
            for asked in [asked, later] {
                let (status, _) = asked.await.unwrap();
                assert_eq!(status, "200", "{path}, {case}");
            }
            assert_eq!(targets.seen().len(), 2, "{path}, {case}");
        }
    }
}

/// Guards against requests that are held for targets which have accepted no connection for long.
#[tokio::test(start_paused = true)]
async fn targets_that_accept_no_connection_for_long_are_waited_for_once() {
    for path in PATHS {
        for (node, case) in nodes() {
            let connections = node.target.pause();
            let _pause = connections.write().await;
            let (status, took) = ask(&node, path, "").await.unwrap();
            assert_eq!(status, "503", "{path}, {case}");
            assert!(took < Duration::from_secs(3), "{path}, {case}: {took:?}");
            let (status, took) = ask(&node, path, "").await.unwrap();
            assert_eq!(status, "503", "{path}, {case}");
            assert!(took <= REFUSAL_TIME, "{path}, {case}: {took:?}");
        }
    }
}

/// Guards against targets that count as down in each later pause, since they were down once.
#[tokio::test(start_paused = true)]
async fn targets_that_were_down_are_waited_for_in_a_later_pause() {
    // No connection is kept for so long, and no attempt of before counts.
    let between = Duration::from_secs(3);
    for is_used_between in [true, false] {
        for (mut node, case) in nodes() {
            let connections = node.target.pause();
            let _targets = ScriptedTargets::open(&mut node, &[]);
            let pause = connections.write().await;
            assert_eq!(ask(&node, PATHS[0], "").await.unwrap().0, "503", "{case}");
            drop(pause);
            if is_used_between {
                assert_eq!(ask(&node, PATHS[0], "").await.unwrap().0, "200", "{case}");
            }
            sleep(between).await;
            let pause = connections.write().await;
            let asked = ask(&node, PATHS[0], "");
            sleep(PAUSE).await;
            drop(pause);
            assert_eq!(asked.await.unwrap().0, "200", "{case}");
        }
    }
}

/// Guards against a request that stays at a dead target, since the other one accepts no connection for a moment.
#[tokio::test(start_paused = true)]
async fn a_paused_target_takes_over_from_a_dead_one() {
    for shares_health in [false, true] {
        let mut node = TestNode::open(TestOptions {
            has_second_target: true,
            shares_health,
            ..TestOptions::default()
        });
        let connections = node.target.pause();
        let _targets = ScriptedTargets::open(&mut node, &[Reply::Never]);
        let asked = ask(&node, PATHS[0], &time_limit(Duration::from_secs(4)));
        // Once it has a connection.
        sleep(Duration::from_millis(1)).await;
        let pause = connections.write().await;
        sleep(PAUSE + Duration::from_millis(400)).await;
        drop(pause);
        let (status, took) = asked.await.unwrap();
        assert_eq!(status, "200");
        assert!(took < Duration::from_millis(2200), "{took:?}");
    }
}

/// Guards against an answer with a failure that is held back since another target accepts no connection.
#[tokio::test(start_paused = true)]
async fn a_server_error_is_delivered_beside_a_target_without_connections() {
    let mut node = TestNode::open(TestOptions {
        has_second_target: true,
        ..TestOptions::default()
    });
    let connections = node.target.pause();
    let _targets = ScriptedTargets::open(&mut node, &[Reply::Error(Duration::from_millis(20))]);
    let asked = ask(&node, PATHS[0], "");
    // Once it has a connection.
    sleep(Duration::from_millis(1)).await;
    let _pause = connections.write().await;
    let (status, took) = asked.await.unwrap();
    assert_eq!(status, "500");
    assert!(took < REFUSAL_TIME, "{took:?}");
}

/// Guards against a request that waits for a connection beyond its time, or is said to have run.
#[tokio::test(start_paused = true)]
async fn a_request_without_a_connection_is_refused_at_its_deadline() {
    let limit = Duration::from_millis(900);
    for path in PATHS {
        for (node, case) in nodes() {
            let connections = node.target.pause();
            let _pause = connections.write().await;
            let (status, took) = ask(&node, path, &time_limit(limit)).await.unwrap();
            assert_eq!((&*status, took), ("503", limit), "{path}, {case}");
        }
    }
}

/// Guards against a request that waits for targets which refuse connections.
#[tokio::test(start_paused = true)]
async fn a_request_to_targets_that_refuse_connections_is_refused_at_once() {
    for path in PATHS {
        for (mut node, case) in nodes() {
            let mut targets = ScriptedTargets::open(&mut node, &[]);
            targets.refuse_connections().await;
            let (status, took) = ask(&node, path, "").await.unwrap();
            assert_eq!((&*status, took), ("503", Duration::ZERO), "{path}, {case}");
        }
    }
}
