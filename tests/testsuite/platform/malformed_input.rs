//! Malformed and oversize input is rejected without affecting other requests.

use std::time::Duration;

use azuresaddle_standin::platform::CallerRequest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::support::{ask, fleet, plain, program, status, stream};

async fn send_raw(addr: std::net::SocketAddr, text: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    // A node may answer and close the connection before everything is written.
    let _ = stream.write_all(text).await;
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(Duration::from_secs(4), read).await;
    let answer = String::from_utf8_lossy(&answer);
    answer.lines().next().unwrap_or("").to_owned()
}

const HEAD: &str = "POST /post/1 HTTP/1.1\r\nhost: desk.example\r\nauthorization: Token key-1\r\n";

#[tokio::test(flavor = "multi_thread")]
async fn each_kind_of_malformed_input_has_its_status() {
    let fleet = fleet("input", 1).await;
    let node = &fleet.nodes[0];
    let addr = node.callers_addr();
    let long = format!("{HEAD}x-long: {}\r\n\r\n", "x".repeat(20_000));
    assert!(send_raw(addr, long.as_bytes()).await.contains("431"));
    let large = format!("{HEAD}azuresaddle-attempt-id: 1\r\ncontent-length: 99999999\r\n\r\n");
    assert!(send_raw(addr, large.as_bytes()).await.contains("413"));
    let nameless = format!("{HEAD}content-length: 0\r\n\r\n");
    assert!(send_raw(addr, nameless.as_bytes()).await.contains("400"));
    assert!(send_raw(addr, b"nonsense\r\n\r\n").await.contains("400"));
    // A request head that is never completed.
    assert!(send_raw(addr, HEAD.as_bytes()).await.contains("408"));
    assert_eq!(status(node, &plain("/post/1")).await, 200);
}

#[test]
fn an_invalid_settings_file_is_reported_with_the_missing_field() {
    let dir = super::support::dir("settings");
    let path = dir.join("bad.toml");
    std::fs::write(&path, "node_name = \"n\"\nzone = \"d\"\n").unwrap();
    let output = std::process::Command::new(program())
        .args(["serve", "--settings"])
        .arg(&path)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        text.contains("settings file") && text.contains("\"ip\""),
        "{text}"
    );
}

/// Guards against a count for which the placement of streams panics, so that nodes wait for its decision until their
/// callers' time is over.
#[tokio::test(flavor = "multi_thread")]
async fn a_token_count_near_the_largest_number_ends_no_placement() {
    let fleet = fleet("huge-count", 2).await;
    for node in &fleet.nodes {
        for tokens in [(u64::MAX, 1), (1, u64::MAX), (u64::MAX, u64::MAX)] {
            let asked = CallerRequest {
                tokens: Some(tokens),
                ..stream("/ask/1", 1, 1)
            };
            let answer = ask(node, &asked).await.unwrap();
            assert_eq!(answer.status, 503, "{tokens:?}");
            assert_eq!(fleet.platform.runs.of(&asked.attempt).count, 0);
        }
        assert_eq!(status(node, &stream("/ask/1", 2000, 2)).await, 200);
    }
}
