//! Tests of request bodies that do not fit, do not arrive, or are not taken by the target.

use std::time::Duration;

use azuresaddle_core::byte_budget::HeldFor;
use azuresaddle_core::prelude::Listener;
use tokio::io::AsyncWriteExt;
use tokio::time::Instant;

use super::caller::{head, head_of, read_all, read_some, send, time_limit};
use super::target::{plain_head, read_head};
use super::test_node::{TestNode, TestOptions};

fn text(answer: &[u8]) -> String {
    String::from_utf8_lossy(answer).into_owned()
}

/// Guards against bodies that are read without bound, and against a refusal that comes after the body was sent.
#[tokio::test(start_paused = true)]
async fn a_body_that_does_not_fit_is_refused_before_it_is_read() {
    // The budget is 1 MB, and half of it for an account.
    let mut node = TestNode::open(TestOptions {
        memory_mb: 3,
        ..TestOptions::default()
    });
    let began = Instant::now();
    let length = "content-length: 600000\r\n";
    let mut caller = send(node.connect(), &head("/plain/1", length)).await;
    let answer = text(&read_all(&mut caller).await);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: 0."), "{answer}");
    assert_eq!(began.elapsed(), Duration::ZERO);
    assert!(node.has_metric("azuresaddle_body_refusals_total 1"));
    let accepted = tokio::time::timeout(Duration::from_secs(1), node.target.accept()).await;
    assert!(accepted.is_err(), "the request was sent to the target");
}

/// Guards against one client account whose requests use up the memory for those of others.
#[tokio::test(start_paused = true)]
async fn an_account_that_uses_up_its_half_leaves_the_other_half() {
    let node = TestNode::open(TestOptions {
        memory_mb: 3,
        ..TestOptions::default()
    });
    let length = "content-length: 300000\r\n";
    let _first = send(node.connect(), &head_of("a", "/plain/1", length)).await;
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert_eq!(node.held(HeldFor::Target), 300_000);
    let mut second = send(node.connect(), &head_of("a", "/plain/1", length)).await;
    let answer = text(&read_all(&mut second).await);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    let _other = send(node.connect(), &head_of("b", "/plain/1", length)).await;
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert_eq!(node.held(HeldFor::Target), 600_000);
}

/// Guards against memory that is held for callers which begin a body and never finish it.
#[tokio::test(start_paused = true)]
async fn a_body_that_stops_arriving_ends_with_408() {
    let node = TestNode::open(TestOptions::default());
    let began = Instant::now();
    let length = "content-length: 1000\r\n";
    let mut caller = send(node.connect(), &head("/plain/1", length)).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    caller.write_all(&[b'x'; 500]).await.unwrap();
    let answer = text(&read_all(&mut caller).await);
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert_eq!(began.elapsed(), Duration::from_secs(5));
    assert_eq!(node.held(HeldFor::Target), 0);
}

/// Guards against a request that is sent twice although its target may have run it, and against a target that gets more
/// requests while it takes none.
#[tokio::test(start_paused = true)]
async fn a_target_that_stops_taking_a_body_rests_for_a_second_and_is_closed_at_the_deadline() {
    let limit = Duration::from_secs(4);
    let mut node = TestNode::open(TestOptions::default());
    let more = format!("content-length: 300000\r\n{}", time_limit(limit));
    let mut caller = send(node.connect(), &head("/plain/1", &more)).await;
    caller.write_all(&vec![b'x'; 300_000]).await.unwrap();
    let mut target = node.target.accept().await.unwrap();
    let began = Instant::now();
    read_head(&mut target).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let mut again = send(node.connect(), &head("/plain/1", "")).await;
    let answer = text(&read_all(&mut again).await);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert_eq!(began.elapsed(), Duration::from_secs(2));
    assert!(node.has_metric("azuresaddle_slow_readers_total{side=\"target\"} 1"));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let _later = send(node.connect(), &head("/plain/1", "")).await;
    node.target.accept().await.unwrap();
    let answer = text(&read_all(&mut caller).await);
    assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
    assert_eq!(began.elapsed(), limit);
    // Ends if the node has closed the connection.
    read_all(&mut target).await;
    assert_eq!(node.held(HeldFor::Target), 0);
}

/// Guards against memory that is held for targets which stopped taking a body, while the bodies of others do not fit.
#[tokio::test(start_paused = true)]
async fn a_body_that_its_target_stopped_taking_gives_its_memory_to_others() {
    // Bodies may take 750 KB.
    let mut node = TestNode::open(TestOptions {
        memory_mb: 3,
        has_second_target: true,
        ..TestOptions::default()
    });
    let length = "content-length: 300000\r\n";
    let mut caller = send(node.connect(), &head("/plain/1", length)).await;
    caller.write_all(&vec![b'x'; 300_000]).await.unwrap();
    let mut target = node.target.accept().await.unwrap();
    let began = Instant::now();
    read_head(&mut target).await;
    let larger = head_of("b", "/plain/1", "content-length: 460000\r\n");
    for after in [Duration::from_secs(1), Duration::from_millis(2500)] {
        tokio::time::sleep(after - began.elapsed()).await;
        assert_eq!(node.held(HeldFor::Target), 300_000, "{after:?}");
        let mut other = send(node.connect(), &larger).await;
        let answer = text(&read_all(&mut other).await);
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    }
    let answer = text(&read_all(&mut caller).await);
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert_eq!(began.elapsed(), Duration::from_millis(2500));
    read_all(&mut target).await;
    let _other = send(node.connect(), &larger).await;
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert_eq!(node.held(HeldFor::Target), 460_000);
}

/// Guards against a request that is given up since its sound target is silent for a while before it takes the whole body.
#[tokio::test(start_paused = true)]
async fn a_target_that_pauses_while_it_takes_a_body_answers_the_request() {
    for pause_ms in [1400, 2100, 3500] {
        for path in ["/plain/1", "/idempotent/1"] {
            let mut node = TestNode::open(TestOptions::default());
            let length = "content-length: 300000\r\n";
            let mut caller = send(node.connect(), &head(path, length)).await;
            caller.write_all(&vec![b'x'; 300_000]).await.unwrap();
            let mut target = node.target.accept().await.unwrap();
            read_head(&mut target).await;
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            read_some(&mut target, 300_000).await;
            let answer = plain_head(2) + "ok";
            target.write_all(answer.as_bytes()).await.unwrap();
            let answer = text(&read_all(&mut caller).await);
            assert!(
                answer.starts_with("HTTP/1.1 200"),
                "{path} {pause_ms} ms: {answer}"
            );
        }
    }
}

/// Guards against a request that is reported as possibly run although its target has seen nothing of it.
#[tokio::test(start_paused = true)]
async fn a_request_whose_head_was_never_taken_has_not_run() {
    let mut node = TestNode::open(TestOptions {
        target_buffer_bytes: 0,
        ..TestOptions::default()
    });
    let mut caller = send(node.connect(), &head("/plain/1", "")).await;
    let _target = node.target.accept().await.unwrap();
    let answer = text(&read_all(&mut caller).await);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after"), "{answer}");
}

/// Guards against a limit on heads for which the HTTP library panics, so that the node resets each connection.
#[tokio::test(start_paused = true)]
async fn a_small_limit_on_heads_does_not_break_connections() {
    let node = TestNode::open(TestOptions {
        max_header_bytes: 500,
        ..TestOptions::default()
    });
    let mut short = send(node.connect(), &head("/nowhere/1", "")).await;
    let answer = text(&read_all(&mut short).await);
    assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
    let filler = format!("x-filler: {}\r\n", "x".repeat(500));
    let mut long = send(node.connect(), &head("/plain/1", &filler)).await;
    let answer = text(&read_all(&mut long).await);
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
}

/// Guards against callers that send the beginning of a very long head on many connections.
#[tokio::test(start_paused = true)]
async fn a_long_incomplete_head_is_counted_until_its_timeout() {
    let node = TestNode::open(TestOptions::default());
    let long = format!("x-filler: {}\r\n", "x".repeat(20_000));
    let request = head("/plain/1", &long);
    // Without the blank line that ends it.
    let incomplete = &request[..request.len() - 2];
    let mut caller = send(node.connect(), incomplete).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(node.held(HeldFor::Target), (64 << 10) - (8 << 10));
    let answer = text(&read_all(&mut caller).await);
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert_eq!(node.held(HeldFor::Target), 0);
}
