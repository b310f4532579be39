//! Tests of requests that are in progress when their node stops.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::time::Instant;

use super::caller::{head, read_all, read_some, send, status};
use super::target::{accept_request, plain_head};
use super::test_node::{TestNode, TestOptions};
use crate::shutdown::ShutdownStage;

/// Guards against a request that is dropped with the process because its body was still arriving.
#[tokio::test(start_paused = true)]
async fn a_request_whose_body_still_arrives_is_refused_at_once() {
    let node = TestNode::open(TestOptions::default());
    let length = "content-length: 100\r\n";
    let mut caller = send(node.connect(), &head("/plain/1", length)).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    node.shutdown.enter(ShutdownStage::Refusing);
    let began = Instant::now();
    assert_eq!(status(&read_all(&mut caller).await), "503");
    assert_eq!(began.elapsed(), Duration::ZERO);
}

/// Guards against a stop that takes the target from a request which it could still answer.
#[tokio::test(start_paused = true)]
async fn a_request_that_was_sent_keeps_its_target_until_the_process_ends() {
    let mut node = TestNode::open(TestOptions::default());
    let mut caller = send(node.connect(), &head("/plain/1", "")).await;
    let mut target = accept_request(&mut node.target).await;
    node.shutdown.enter(ShutdownStage::Refusing);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let answer = plain_head(2) + "ok";
    target.write_all(answer.as_bytes()).await.unwrap();
    assert_eq!(status(&read_all(&mut caller).await), "200");
}

/// Guards against a process that ends while callers still read their answers, because the answers counted as finished once
/// the HTTP library had them.
#[tokio::test(start_paused = true)]
async fn a_stop_waits_for_answers_that_are_still_read() {
    let mut node = TestNode::open(TestOptions::default());
    let mut caller = send(node.connect(), &head("/plain/1", "")).await;
    let mut target = accept_request(&mut node.target).await;
    node.shutdown.enter(ShutdownStage::Refusing);
    let answer = plain_head(600_000);
    target.write_all(answer.as_bytes()).await.unwrap();
    target.write_all(&[b'x'; 600_000]).await.unwrap();
    for _ in 0..59 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(node.in_flight.count(), 1);
        read_some(&mut caller, 10_000).await;
    }
    let rest = read_all(&mut caller).await;
    assert!((10_000..11_000).contains(&rest.len()), "{}", rest.len());
    assert_eq!(node.in_flight.count(), 0);
}

/// Guards against a request that loses its connection without an answer when the process ends, and against the claim that
/// it did not run.
#[tokio::test(start_paused = true)]
async fn a_request_without_an_answer_gets_one_before_the_process_ends() {
    for path in ["/plain/1", "/events/1"] {
        let mut node = TestNode::open(TestOptions::default());
        let mut caller = send(node.connect(), &head(path, "")).await;
        let mut target = accept_request(&mut node.target).await;
        node.shutdown.enter(ShutdownStage::Refusing);
        tokio::time::sleep(Duration::from_secs(3)).await;
        node.shutdown.enter(ShutdownStage::Ending);
        assert_eq!(status(&read_all(&mut caller).await), "504", "{path}");
        let metric = "azuresaddle_ended_by_stop_total{service=\"svc\",verdict=\"may-have-run\"} 1";
        assert!(node.has_metric(metric), "{path}");
        // The target no longer works for it.
        assert_eq!(read_all(&mut target).await, b"", "{path}");
    }
}
