//! Tests of requests for unknown routes and with unknown keys at a node whose configuration may be old.

use std::time::Duration;

use tokio::time::Instant;

use super::caller::{head, read_all, send, status};
use super::test_node::{TestNode, TestOptions};

async fn status_of(node: &TestNode, path: &str, headers: &str) -> String {
    let mut caller = send(node.connect(), &head(path, headers)).await;
    status(&read_all(&mut caller).await).to_owned()
}

/// Guards against a 404 for a route that has been added, or a 401 for a key, which callers do not repeat.
#[tokio::test(start_paused = true)]
async fn an_unknown_route_is_refused_as_not_run_while_the_configuration_may_be_old() {
    let node = TestNode::open(TestOptions::default());
    let close = "connection: close\r\n";
    let progress = node.progress();
    progress.on_check(Instant::now());
    assert_eq!(status_of(&node, "/nowhere/1", close).await, "404");
    progress.set_behind(true);
    assert_eq!(status_of(&node, "/nowhere/1", close).await, "503");
    progress.set_behind(false);
    assert_eq!(status_of(&node, "/nowhere/1", close).await, "404");
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(status_of(&node, "/nowhere/1", close).await, "503");
}
