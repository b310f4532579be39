//! Tests of callers that pause, read slowly or stop reading.

use std::time::Duration;

use azuresaddle_core::byte_budget::HeldFor;
use azuresaddle_core::prelude::Listener;
use azuresaddle_platform::headers;
use tokio::io::AsyncWriteExt;
use tokio::time::Instant;

use super::caller::{chunked_body, head, read_all, read_some, send, time_limit};
use super::target::{Events, read_head};
use super::test_node::{TestNode, TestOptions};

/// The usual answer to a prompt.
const ANSWER: Events = Events {
    count: 80,
    length: 500,
    interval: Duration::from_millis(15),
};

/// An answer that is longer than what waits for a caller.
const LONG_ANSWER: Events = Events {
    count: 1000,
    length: 1000,
    interval: Duration::from_millis(1),
};

/// Guards against an engine that is stalled by a caller's pause: with a bound of some chunks, the answer does not fit into
/// the node, and the target waits for the caller.
#[tokio::test(start_paused = true)]
async fn a_caller_that_pauses_does_not_stall_the_target() {
    let mut node = TestNode::open(TestOptions::default());
    let mut caller = send(node.connect(), &head("/events/1", "")).await;
    let ask = async {
        let mut answer = read_some(&mut caller, 4000).await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let resumed = Instant::now();
        answer.extend(read_all(&mut caller).await);
        (answer, resumed)
    };
    let ((answer, resumed), written) = tokio::join!(ask, ANSWER.answer_one(&mut node.target));
    assert_eq!(written.count, ANSWER.count);
    assert!(written.at < resumed, "{:?}", written.at - resumed);
    assert_eq!(chunked_body(&answer), Some(ANSWER.body()));
    assert_eq!(node.held(HeldFor::Caller), 0);
}

/// Guards against an engine that is held by a caller which never reads, until the target itself aborts the answer.
#[tokio::test(start_paused = true)]
async fn a_caller_that_never_reads_is_disconnected_and_frees_the_target() {
    let mut node = TestNode::open(TestOptions::default());
    let mut caller = send(node.connect(), &head("/events/1", "")).await;
    let began = Instant::now();
    let written = LONG_ANSWER.answer_one(&mut node.target).await;
    let took = written.at - began;
    assert!(written.count < 300, "{written:?}");
    // The buffer is full after about 270 events.
    assert!(took > Duration::from_millis(1500), "{took:?}");
    assert!(took < Duration::from_millis(2000), "{took:?}");
    let answer = read_all(&mut caller).await;
    assert_eq!(chunked_body(&answer), None, "the answer has an end");
    assert_eq!(node.held(HeldFor::Caller), 0);
    let metric = "azuresaddle_slow_readers_total{side=\"caller\"} 1";
    assert!(node.has_metric(metric));
}

/// Guards against bytes that wait in the library's write buffers and are not counted.
#[tokio::test(start_paused = true)]
async fn what_waits_for_a_caller_is_bounded_and_counted() {
    let mut node = TestNode::open(TestOptions::default());
    let _caller = send(node.connect(), &head("/events/1", "")).await;
    let budget = node.budget().clone();
    let answer = LONG_ANSWER.answer_one(&mut node.target);
    let watch = tokio::time::timeout(Duration::from_millis(1500), answer).await;
    assert!(watch.is_err(), "the whole answer was taken");
    let held = budget.held(HeldFor::Caller);
    // The node and the connection to the target buffer the rest of what the target has written.
    assert!((240 << 10..=256 << 10).contains(&held), "{held}");
    assert!(node.has_metric(&format!("azuresaddle_held_bytes{{for=\"caller\"}} {held}")));
}

/// Guards against a limit on the time of an answer instead of the time without progress.
#[tokio::test(start_paused = true)]
async fn a_caller_that_reads_slowly_but_steadily_gets_the_whole_answer() {
    let mut node = TestNode::open(TestOptions::default());
    let mut caller = send(node.connect(), &head("/events/1", "")).await;
    let ask = async {
        let mut answer = Vec::new();
        for _ in 0..200 {
            tokio::time::sleep(Duration::from_millis(1200)).await;
            answer.extend(read_some(&mut caller, 4000).await);
        }
        answer.extend(read_all(&mut caller).await);
        answer
    };
    let (answer, written) = tokio::join!(ask, LONG_ANSWER.answer_one(&mut node.target));
    assert_eq!(written.count, LONG_ANSWER.count);
    assert_eq!(chunked_body(&answer), Some(LONG_ANSWER.body()));
}

/// Guards against an answer that is ready and is withheld from a caller that returns late, and against one that is kept
/// for a caller that does not return.
#[tokio::test(start_paused = true)]
async fn a_buffered_answer_is_kept_until_the_deadline() {
    for (pause, is_kept) in [(8, true), (12, false)] {
        let mut node = TestNode::open(TestOptions::default());
        let limit = time_limit(Duration::from_secs(10));
        let mut caller = send(node.connect(), &head("/events/1", &limit)).await;
        ANSWER.answer_one(&mut node.target).await;
        tokio::time::sleep(Duration::from_secs(pause)).await;
        assert_eq!(node.held(HeldFor::Caller) > 0, is_kept);
        let answer = read_all(&mut caller).await;
        assert_eq!(chunked_body(&answer).is_some(), is_kept);
    }
}

/// Guards against a complete answer that is not counted once it is handed to the connection.
#[tokio::test(start_paused = true)]
async fn an_answer_of_a_plain_target_is_counted_until_it_is_read() {
    let mut node = TestNode::open(TestOptions::default());
    let mut caller = send(node.connect(), &head("/plain/1", "")).await;
    let mut target = node.target.accept().await.unwrap();
    read_head(&mut target).await;
    let id = headers::ATTEMPT_ID;
    let answer = format!("HTTP/1.1 200 OK\r\n{id}: 1\r\ncontent-length: 1000000\r\n\r\n");
    target.write_all(answer.as_bytes()).await.unwrap();
    target.write_all(&vec![b'x'; 1_000_000]).await.unwrap();
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(node.held(HeldFor::Caller), 1_000_000);
    let answer = read_all(&mut caller).await;
    assert!(answer.len() > 1_000_000);
    assert_eq!(node.held(HeldFor::Caller), 0);
}
