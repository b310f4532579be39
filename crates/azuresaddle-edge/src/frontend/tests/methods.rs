//! Tests of requests with unusual methods.

use tokio::io::AsyncWriteExt;

use super::caller::{head, read_all, send, status};
use super::target::{accept_request, plain_head};
use super::test_node::{TestNode, TestOptions};

/// Guards against a success without the body of the target, since it looks like the start of a tunnel.
#[tokio::test(start_paused = true)]
async fn a_request_for_a_tunnel_is_rejected() {
    let mut node = TestNode::open(TestOptions::default());
    let connect = head("/plain/1", "").replace("POST", "CONNECT");
    let mut caller = send(node.connect(), &connect).await;
    let answer = tokio::select! {
        answer = read_all(&mut caller) => answer,
        mut target = accept_request(&mut node.target) => {
            let answer = plain_head(2) + "ok";
            target.write_all(answer.as_bytes()).await.unwrap();
            read_all(&mut caller).await
        }
    };
    let text = String::from_utf8_lossy(&answer);
    assert_eq!(status(&answer), "501", "{text}");
}
