//! A caller that reads its answer when a test says so.

use std::time::Duration;

use azuresaddle_platform::headers;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::test_node::TestNode;

/// The head of a request of account `a` for one answer, after which the connection is closed.
pub(super) fn head(path: &str, more: &str) -> String {
    head_of("a", path, more)
}

/// The head of a request of an account.
pub(super) fn head_of(account: &str, path: &str, more: &str) -> String {
    let id = headers::ATTEMPT_ID;
    format!(
        "POST {path} HTTP/1.1\r\nhost: desk.example\r\nauthorization: Token {account}\r\n\
         connection: close\r\n{id}: 1\r\n{more}\r\n"
    )
}

/// The header that states a request's time limit.
pub(super) fn time_limit(limit: Duration) -> String {
    format!("{}: {}\r\n", headers::TIME_LEFT_MS, limit.as_millis())
}

/// Sends a request and returns the connection.
pub(super) async fn send(mut stream: DuplexStream, request: &str) -> DuplexStream {
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

/// Reads until the node closes the connection.
pub(super) async fn read_all(stream: &mut DuplexStream) -> Vec<u8> {
    let mut read = Vec::new();
    stream.read_to_end(&mut read).await.unwrap();
    read
}

/// Reads `count` bytes.
pub(super) async fn read_some(stream: &mut DuplexStream, count: usize) -> Vec<u8> {
    let mut read = vec![0; count];
    stream.read_exact(&mut read).await.unwrap();
    read
}

/// The body of an answer in chunked encoding; `None` if its end is missing.
pub(super) fn chunked_body(answer: &[u8]) -> Option<Vec<u8>> {
    let text = answer.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let mut rest = &answer[text..];
    let mut body = Vec::new();
    loop {
        let line = rest.windows(2).position(|w| w == b"\r\n")?;
        let length = std::str::from_utf8(&rest[..line]).ok()?;
        let length = usize::from_str_radix(length, 16).ok()?;
        rest = rest.get(line + 2..)?;
        if length == 0 {
            return Some(body);
        }
        body.extend_from_slice(rest.get(..length)?);
        rest = rest.get(length + 2..)?;
    }
}

/// The status of an answer; `none` if the connection was closed without one.
pub(super) fn status(answer: &[u8]) -> String {
    let text = std::str::from_utf8(answer).unwrap();
    text.split(' ').nth(1).unwrap_or("none").to_owned()
}

/// Sends a request; the result has the status and the time of its answer.
pub(super) fn ask(node: &TestNode, path: &str, more: &str) -> JoinHandle<(String, Duration)> {
    let (connection, head) = (node.connect(), head(path, more));
    tokio::spawn(async move {
        let began = Instant::now();
        let answer = read_all(&mut send(connection, &head).await).await;
        (status(&answer), began.elapsed())
    })
}
