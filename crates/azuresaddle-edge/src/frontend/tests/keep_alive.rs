//! Tests of the time for which targets announce that they keep connections.

use azuresaddle_core::prelude::Listener;
use azuresaddle_platform::headers;
use tokio::io::AsyncWriteExt;

use super::caller::ask;
use super::target::read_head;
use super::test_node::{TestNode, TestOptions};

/// Answers two requests, with that value of the header, and returns whether both came on one connection.
async fn is_kept(path: &str, value: &str) -> bool {
    let mut node = TestNode::open(TestOptions::default());
    let id = headers::ATTEMPT_ID;
    let answer =
        format!("HTTP/1.1 200 OK\r\n{id}: 1\r\nkeep-alive: {value}\r\ncontent-length: 0\r\n\r\n");
    let first = ask(&node, path, "");
    let mut kept = node.target.accept().await.unwrap();
    read_head(&mut kept).await;
    kept.write_all(answer.as_bytes()).await.unwrap();
    assert_eq!(first.await.unwrap().0, "200", "{value}");
    let second = ask(&node, path, "");
    let (mut target, is_kept) = tokio::select! {
        opened = node.target.accept() => (opened.unwrap(), false),
        _ = read_head(&mut kept) => (kept, true),
    };
    if !is_kept {
        read_head(&mut target).await;
    }
    target.write_all(answer.as_bytes()).await.unwrap();
    assert_eq!(second.await.unwrap().0, "200", "{value}");
    is_kept
}

/// Guards against an answer that is lost since its target announces an endless keep-alive time.
#[tokio::test(start_paused = true)]
async fn an_endless_keep_alive_time_keeps_the_answer_and_the_connection() {
    let endless = [86_400, i64::MAX as u64, u64::MAX];
    for value in endless.map(|seconds| format!("timeout={seconds}")) {
        for path in ["/plain/1", "/idempotent/1"] {
            assert!(is_kept(path, &value).await, "{value}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn an_unreadable_keep_alive_time_counts_as_none() {
    for value in [
        "timeout=-1",
        "timeout=1e400",
        "timeout=",
        "timeout",
        "timeout=99999999999999999999",
    ] {
        assert!(is_kept("/plain/1", value).await, "{value}");
    }
}
