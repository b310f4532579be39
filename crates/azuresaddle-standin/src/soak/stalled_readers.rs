//! Callers that stop reading in the middle of an answer, or stop sending in the middle of a request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azuresaddle_platform::headers;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::Instant;

use super::callers::{ANSWER_TIMEOUT, SoakState, random_node, random_request};
use crate::platform::CallerRequest;

/// Receive buffer of these callers, in bytes. A small one makes the node wait for the caller early.
const RECEIVE_BUFFER_BYTES: u32 = 4096;

/// Longest pause of a caller that reads its answer afterwards; longer than the time after which a caller that stalls its
/// target is disconnected.
const MAX_PAUSE: Duration = Duration::from_millis(2500);

/// Time for which a caller that has stopped for good keeps its connection open.
const HOLD_TIME: Duration = Duration::from_secs(4);

/// Events of an answer: more than fit into a buffer of a few dozen.
const EVENTS: u64 = 80;

/// Tokens per event; equals `stride` in the stand-in configuration.
const TOKENS_PER_EVENT: u64 = 46;

/// What a caller does after it has sent the head of its request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behavior {
    /// Reads nothing for this time, then the whole answer.
    Pauses(Duration),
    /// Never reads.
    NeverReads,
    /// Sends a part of the body and no more.
    StopsSending,
}

impl Behavior {
    fn random(rng: &mut StdRng) -> Self {
        match rng.random_range(0..4) {
            0 | 1 => Self::Pauses(MAX_PAUSE.mul_f64(rng.random_range(0.2..1.0))),
            2 => Self::NeverReads,
            _ => Self::StopsSending,
        }
    }
}

/// Sends requests until the soak is stopped, and stops reading or sending in each of them.
pub(super) async fn run_stalled_reader(shared: Arc<SoakState>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    while !shared.stopped.is_cancelled() {
        let Some(node) = random_node(&shared, &mut rng).await else {
            continue;
        };
        let request = CallerRequest {
            path: "/ask/1".to_owned(),
            tokens: Some((rng.random_range(200..4000), EVENTS * TOKENS_PER_EVENT)),
            ..random_request(&shared, &mut rng)
        };
        let behavior = Behavior::random(&mut rng);
        let began = Instant::now();
        shared.signals.on_sent(node, &request);
        let exchange = exchange(node, &request, behavior);
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, exchange).await;
        // No connection, or none that lasted, if a fault affects the node.
        let answer = answer.ok().and_then(Result::ok);
        check_stalled_answer(&shared, behavior, began, answer.as_deref());
    }
}

/// Sends a request and returns what was read of its answer.
async fn exchange(
    node: SocketAddr,
    request: &CallerRequest,
    behavior: Behavior,
) -> std::io::Result<Vec<u8>> {
    let mut stream = connect(node).await?;
    let length = match behavior {
        Behavior::StopsSending => request.body.len() + 1000,
        _ => request.body.len(),
    };
    stream.write_all(head(request, length).as_bytes()).await?;
    stream.write_all(&request.body).await?;
    let mut answer = Vec::new();
    match behavior {
        Behavior::NeverReads => tokio::time::sleep(HOLD_TIME).await,
        Behavior::Pauses(pause) => {
            tokio::time::sleep(pause).await;
            stream.read_to_end(&mut answer).await?;
        }
        Behavior::StopsSending => {
            stream.read_to_end(&mut answer).await?;
        }
    }
    Ok(answer)
}

/// Connects with a small receive buffer.
pub(super) async fn connect(node: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.connect(node).await
}

/// The head of a request with a body of `length` bytes, after whose answer the connection is closed.
pub(super) fn head(request: &CallerRequest, length: usize) -> String {
    let (prompt, answer) = request.tokens.unwrap_or_default();
    format!(
        "POST {} HTTP/1.1\r\nhost: {}\r\nauthorization: Token {}\r\nconnection: close\r\n\
         content-length: {length}\r\n{}: {}\r\n{}: {}\r\n{}: {prompt},{answer}\r\n\r\n",
        request.path,
        request.host,
        request.key,
        headers::ATTEMPT_ID,
        request.attempt,
        headers::TIME_LEFT_MS,
        request.timeout.as_millis(),
        headers::TOKEN_COUNTS,
    )
}

/// Checks that a caller which paused gets its whole answer, and one that stopped sending is told so.
fn check_stalled_answer(
    shared: &SoakState,
    behavior: Behavior,
    began: Instant,
    answer: Option<&[u8]>,
) {
    let text = answer.map(String::from_utf8_lossy);
    let status = text.as_ref().and_then(|t| t.get(9..12)).unwrap_or("none");
    let is_whole = text.as_ref().is_some_and(|t| t.ends_with("0\r\n\r\n"));
    let (name, is_right) = match behavior {
        // A stream is answered with 200 in chunks; another status is the usual end of a request under faults.
        Behavior::Pauses(_) => ("paused", is_whole || !matches!(status, "200" | "none")),
        Behavior::NeverReads => ("never read", true),
        Behavior::StopsSending => ("stopped sending", matches!(status, "408" | "503")),
    };
    shared.count(&format!("callers that {name}: {status}"));
    if !is_right && !shared.was_disrupted_since(began) {
        shared.report_violation(format!("{behavior:?}: answer {text:?}"));
    }
}
