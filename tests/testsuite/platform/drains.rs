//! Targets that drain and nodes that stop or are killed.

use std::time::Duration;

use azuresaddle_standin::platform::{Caller, CallerRequest, PlatformOptions};
use azuresaddle_standin::soak::FleetOptions;
use nix::sys::signal::Signal;
use tokio::time::Instant;

use super::support::{fleet, fleet_of, plain, status, stream};

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_target_gets_no_new_requests() {
    let fleet = fleet("drain", 2).await;
    let leaving = fleet.platform.plain[0].clone();
    fleet.platform.drain(&leaving);
    tokio::time::sleep(Duration::from_millis(500)).await;
    leaving.kill();
    for node in &fleet.nodes {
        for _ in 0..10 {
            let asked = plain("/post/1");
            assert_eq!(status(node, &asked).await, 200);
            assert_eq!(fleet.platform.runs.of(&asked.attempt).count, 1);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_stop_interrupts_no_answer() {
    let mut fleet = fleet("stop", 2).await;
    let node = fleet.nodes[0].callers_addr();
    let answers: Vec<_> = (0..12)
        .map(|n| {
            let asked = stream("/ask-once/1", 2000, 10 + n);
            tokio::spawn(async move { Caller::default().ask(node, &asked).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(150)).await;
    let stopped_at = Instant::now();
    fleet.nodes[0].signal(Signal::SIGTERM);
    tokio::time::sleep(Duration::from_millis(300)).await;
    // The node reports at once that it is not ready, so the platform sends callers to the other node.
    assert!(!fleet.nodes[0].is_ready().await);
    assert!(fleet.nodes[1].is_ready().await);
    // Callers that still use its address get answers.
    assert_eq!(status(&fleet.nodes[0], &plain("/note/1")).await, 200);
    for answer in answers {
        assert_eq!(answer.await.unwrap().unwrap().status, 200);
    }
    assert!(
        fleet.nodes[0]
            .wait_until_ended(Duration::from_secs(5))
            .await
    );
    assert!(
        stopped_at.elapsed() < Duration::from_secs(4),
        "{:?}",
        stopped_at.elapsed()
    );
}

/// Guards against requests that wait for an engine while their node stops, and lose their connection without an answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_waits_for_an_engine_is_answered_when_its_node_stops() {
    let options = FleetOptions {
        nodes: 2,
        platform: PlatformOptions {
            engines: 1,
            plain: 1,
        },
    };
    let mut fleet = fleet_of("stop-waiting", options).await;
    fleet.platform.change_configuration(|c| {
        // Callers wait for the first event for four times the latency target.
        c.routes[0].target_ms = 3000;
        c.routes[0].timeout_ms = 12_000;
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    let (stopped, other) = (fleet.nodes[0].callers_addr(), fleet.nodes[1].callers_addr());
    // These take all slots of the engine until after the stop.
    let busy: Vec<_> = (0..16)
        .map(|_| {
            let asked = stream("/ask-once/1", 1000, 220);
            let asked = CallerRequest {
                timeout: Duration::from_secs(8),
                ..asked
            };
            tokio::spawn(async move { Caller::default().ask(other, &asked).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let waiting: Vec<_> = (0..4)
        .map(|_| {
            let asked = CallerRequest {
                timeout: Duration::from_secs(12),
                ..stream("/ask/1", 100_000, 3)
            };
            let sent = asked.clone();
            let answer = tokio::spawn(async move { Caller::default().ask(stopped, &sent).await });
            (asked.attempt, answer)
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.nodes[0].signal(Signal::SIGTERM);
    for (attempt, answer) in waiting {
        let answer = answer.await.unwrap().unwrap();
        assert_eq!(answer.status, 503);
        assert!(answer.has_retry_after);
        assert_eq!(fleet.platform.runs.of(&attempt).count, 0);
    }
    let end = Duration::from_secs(4);
    assert!(fleet.nodes[0].wait_until_ended(end).await);
    for answer in busy {
        assert_eq!(answer.await.unwrap().unwrap().status, 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_owner_is_replaced_while_streams_arrive() {
    let mut fleet = fleet("owner", 3).await;
    // The oldest node owns the placement of streams; the logs say which node that is.
    let owner = (0..3)
        .find(|n| fleet.nodes[*n].log_text().contains("owner now"))
        .unwrap_or(0);
    let survivor = fleet.nodes[(owner + 1) % 3].callers_addr();
    let answers = tokio::spawn(async move {
        let mut slowest = Duration::ZERO;
        let mut caller = Caller::default();
        for _ in 0..30 {
            let asked = stream("/ask/1", 1500, 2);
            let began = Instant::now();
            let answer = caller.ask(survivor, &asked).await.unwrap();
            assert_eq!(answer.status, 200);
            slowest = slowest.max(began.elapsed());
        }
        slowest
    });
    tokio::time::sleep(Duration::from_millis(400)).await;
    fleet.nodes[owner].signal(Signal::SIGKILL);
    let slowest = answers.await.unwrap();
    assert!(slowest < Duration::from_millis(1500), "{slowest:?}");
}
