//! Tests of answers with numbers that no target should state.

use std::time::Duration;

use azuresaddle_core::prelude::Listener;
use azuresaddle_platform::headers;
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::caller::{ask, head, send};
use super::scripted_targets::expected_target;
use super::target::{chunked_head, event_chunk, last_event_id, read_head, serve_until};
use super::test_node::{TestNode, TestOptions};

/// Time within which another target is asked to continue a stream.
const MAX_TAKEOVER_TIME: Duration = Duration::from_secs(2);

/// Guards against an answer that is lost since its target states a load beyond the largest number.
#[tokio::test(start_paused = true)]
async fn a_load_of_any_size_keeps_the_answer() {
    let mut node = TestNode::open(TestOptions::default());
    let (id, load) = (headers::ATTEMPT_ID, headers::TARGET_LOAD);
    for stated in [
        "4294967295,4294967295,4294967295",
        "4294967295,1,0",
        "4294967296,0,0",
    ] {
        let asked = ask(&node, "/plain/1", "");
        let mut target = node.target.accept().await.unwrap();
        read_head(&mut target).await;
        let answer = format!(
            "HTTP/1.1 200 OK\r\n{id}: 1\r\n{load}: {stated}\r\nconnection: close\r\n\
             content-length: 0\r\n\r\n"
        );
        target.write_all(answer.as_bytes()).await.unwrap();
        assert_eq!(asked.await.unwrap().0, "200", "{stated}");
    }
}

/// Guards against a stream that is lost, rather than continued at another target, after the highest event id.
#[tokio::test(start_paused = true)]
async fn a_stream_is_continued_after_the_highest_event_id() {
    let mut node = TestNode::open(TestOptions {
        has_second_target: true,
        ..TestOptions::default()
    });
    let _caller = send(node.connect(), &head("/resumable/1", "")).await;
    let mut first = node.target.accept().await.unwrap();
    let asked = read_head(&mut first).await;
    let answer = [chunked_head(), event_chunk(u64::MAX), event_chunk(1)].concat();
    first.write_all(answer.as_bytes()).await.unwrap();
    let (tx, mut rx) = mpsc::channel(1);
    let asked_again = timeout(MAX_TAKEOVER_TIME, rx.recv());
    // Nothing is sent on a connection that only checks whether the target accepts one.
    let served = serve_until(&mut node.target, asked_again, |mut stream| {
        let tx = tx.clone();
        async move {
            let request = read_head(&mut stream).await;
            tx.send(request).await.unwrap();
            std::future::pending::<()>().await;
        }
    });
    let asked_again = served.await.expect("another target is asked").unwrap();
    assert_ne!(expected_target(&asked), expected_target(&asked_again));
    assert_eq!(last_event_id(&asked_again), u64::MAX);
}
