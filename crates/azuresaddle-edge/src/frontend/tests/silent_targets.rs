//! Tests of sound targets that are silent for a while and go on.

use std::time::Duration;

use tokio::io::{AsyncWriteExt, DuplexStream};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::caller::{chunked_body, head, read_all, send};
use super::target::{
    chunked_head, event_chunk, last_event_id, plain_head, read_head, serve_until, short_events,
};
use super::test_node::{TestNode, TestOptions};

/// Requests at the same time. The retry budget suffices for seven of them.
const REQUESTS: usize = 20;

/// Events of a stream.
const EVENTS: u64 = 40;

/// Interval between them.
const INTERVAL: Duration = Duration::from_millis(50);

/// When all targets fall silent after the start of a test, and for how long.
const SILENT_AT: Duration = Duration::from_millis(900);
const SILENCE: Duration = Duration::from_millis(1300);

/// Waits while targets are silent.
async fn wait_while_silent(began: Instant) {
    let since = began.elapsed();
    if since >= SILENT_AT && since < SILENT_AT + SILENCE {
        tokio::time::sleep_until(began + SILENT_AT + SILENCE).await;
    }
}

/// Answers a request with the events that its caller does not have.
async fn answer_stream(mut stream: DuplexStream, began: Instant) {
    let request = read_head(&mut stream).await;
    let mut text = chunked_head();
    for number in last_event_id(&request) + 1..=EVENTS {
        tokio::time::sleep(INTERVAL).await;
        wait_while_silent(began).await;
        text.push_str(&event_chunk(number));
        // The node closes the connections of streams that go on elsewhere.
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        text.clear();
    }
    let _ = stream.write_all(b"0\r\n\r\n").await;
}

/// Answers a plain request after `delay`.
async fn answer_plain(mut stream: DuplexStream, delay: Duration) {
    read_head(&mut stream).await;
    tokio::time::sleep(delay).await;
    let answer = plain_head(2) + "ok";
    // The node closes the connections of requests that go on elsewhere.
    let _ = stream.write_all(answer.as_bytes()).await;
}

/// Sends all requests; their answers are the results of the tasks.
fn ask_all(node: &TestNode, path: &str) -> JoinSet<Vec<u8>> {
    let mut asks = JoinSet::new();
    for _ in 0..REQUESTS {
        let connection = node.connect();
        let head = head(path, "");
        asks.spawn(async move { read_all(&mut send(connection, &head).await).await });
    }
    asks
}

fn options(has_second_target: bool) -> TestOptions {
    TestOptions {
        has_second_target,
        ..TestOptions::default()
    }
}

/// Guards against streams that are cut when sound targets are silent, since their node gives the target up before it knows
/// that another one may take over: the retry budget is used up, or there is no other target.
#[tokio::test(start_paused = true)]
async fn a_silence_of_all_targets_cuts_no_stream() {
    for has_second_target in [true, false] {
        let mut node = TestNode::open(options(has_second_target));
        let began = Instant::now();
        let answers = ask_all(&node, "/resumable/1");
        let answers = answers.join_all();
        let answers = serve_until(&mut node.target, answers, |stream| {
            answer_stream(stream, began)
        })
        .await;
        let whole = answers
            .iter()
            .filter(|a| chunked_body(a) == Some(short_events(EVENTS)));
        assert_eq!(whole.count(), REQUESTS, "two targets: {has_second_target}");
    }
}

/// Guards against idempotent requests that are given up while their target still works, since the retry budget is used up or
/// there is no other target.
#[tokio::test(start_paused = true)]
async fn slow_answers_beyond_the_retry_budget_are_awaited() {
    for has_second_target in [true, false] {
        let mut node = TestNode::open(options(has_second_target));
        let answers = ask_all(&node, "/idempotent/1");
        let answers = answers.join_all();
        let answers = serve_until(&mut node.target, answers, |stream| {
            answer_plain(stream, SILENCE)
        })
        .await;
        let served = answers.iter().filter(|a| a.starts_with(b"HTTP/1.1 200"));
        assert_eq!(served.count(), REQUESTS, "two targets: {has_second_target}");
    }
}
