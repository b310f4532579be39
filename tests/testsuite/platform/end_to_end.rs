//! Requests from caller to target and back.

use std::time::Duration;

use azuresaddle_standin::platform::{AttemptRuns, StoreFault};
use nix::sys::signal::Signal;

use super::support::{ask, fleet, plain, status, stream};

#[tokio::test(flavor = "multi_thread")]
async fn plain_requests_and_streams_are_answered_by_every_node() {
    let fleet = fleet("way", 3).await;
    for node in &fleet.nodes {
        for path in ["/note/1", "/post/1?a=%20b"] {
            let asked = plain(path);
            let answer = ask(node, &asked).await.unwrap();
            assert_eq!(answer.status, 200);
            let run = fleet.platform.runs.of(&asked.attempt);
            let expected = AttemptRuns {
                count: 1,
                account: Some("advisers".to_owned()),
                has_key: false,
                services: vec!["desk".to_owned()],
            };
            assert_eq!(run, expected);
        }
        for (prompt, events) in [(500, 1), (3000, 12), (60_000, 4), (120_000, 3)] {
            let asked = stream("/ask/1", prompt, events);
            let answer = ask(node, &asked).await.unwrap();
            assert_eq!(answer.status, 200, "{answer:?}");
            assert_eq!(fleet.platform.runs.of(&asked.attempt).count, 1);
        }
    }
}

/// The store answers slowly, so the node accepts connections well before it knows the configuration.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_to_a_node_that_has_just_started_waits_for_its_configuration() {
    let mut fleet = fleet("starting", 1).await;
    fleet.nodes[0].signal(Signal::SIGKILL);
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet
        .platform
        .store
        .set_fault(StoreFault::Slow(Duration::from_millis(50)));
    fleet.nodes[0].start().unwrap();
    let asked = plain("/post/1");
    let answer = loop {
        match ask(&fleet.nodes[0], &asked).await {
            Ok(answer) => break answer,
            // The port is not open yet.
            Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
        }
    };
    assert_eq!(answer.status, 200);
    assert_eq!(fleet.platform.runs.of(&asked.attempt).count, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_larger_than_one_engine_runs_on_several_and_leaves_no_memory() {
    let fleet = fleet("huge", 2).await;
    let asked = stream("/ask/1", 500_000, 3);
    let answer = ask(&fleet.nodes[0], &asked).await.unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(fleet.platform.reserved_tokens(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn routes_and_keys_are_checked() {
    let fleet = fleet("checked", 1).await;
    let node = &fleet.nodes[0];
    assert_eq!(status(node, &plain("/nowhere/1")).await, 404);
    let mut unknown = plain("/note/1");
    unknown.key = "key-9".to_owned();
    assert_eq!(status(node, &unknown).await, 401);
    let mut other = plain("/note/1");
    other.host = "other.example".to_owned();
    assert_eq!(status(node, &other).await, 404);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_demo_gets_whole_answers() {
    let demo = azuresaddle_standin::platform::run_platform_demo()
        .await
        .unwrap();
    assert_eq!((demo.whole, demo.failed), (124, 0), "{demo:?}");
}
