//! Callers that read a long answer steadily, for longer than the timeouts for callers that do not read.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::callers::{SoakState, random_node, random_request};
use super::stalled_readers::{connect, head};
use crate::platform::{CallerRequest, LONG_BODY_BYTES, LONG_PATH};

/// Bytes read at a time, and the pauses between two reads. With the longest pause, a node has to write for longer than the
/// idle timeout of the stand-in configuration; with the shortest, an answer fits into the grace period of a stop.
const PART_BYTES: usize = 4000;
const PAUSES: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(20)];

/// Time for which these callers wait.
const TIMEOUT: Duration = Duration::from_secs(12);

/// Asks for long answers and reads them slowly until the soak is stopped.
pub(super) async fn run_slow_reader(shared: Arc<SoakState>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    while !shared.stopped.is_cancelled() {
        let Some(node) = random_node(&shared, &mut rng).await else {
            continue;
        };
        let request = CallerRequest {
            path: LONG_PATH.to_owned(),
            tokens: None,
            timeout: TIMEOUT,
            ..random_request(&shared, &mut rng)
        };
        let pause = PAUSES[rng.random_range(0..PAUSES.len())];
        let began = Instant::now();
        // No connection, if a fault affects the node.
        let Ok(mut stream) = connect(node).await else {
            continue;
        };
        let end = read_answer(&mut stream, &request, pause).await;
        let name = match &end {
            Ok(status) => status.as_str(),
            Err(_) => "cut",
        };
        shared.count(&format!("callers that read slowly: {name}"));
        // A long answer that began late in the grace period of a stop need not fit into the rest.
        let is_excused = shared.was_stopped_since(node, began) && pause == PAUSES[0];
        if end.is_err() && !is_excused && !shared.was_disrupted_since(began) {
            shared.report_violation(format!("{request:?} read slowly: {end:?}"));
        }
    }
}

/// Sends a request and reads the whole answer; returns its status.
async fn read_answer(
    stream: &mut TcpStream,
    request: &CallerRequest,
    pause: Duration,
) -> std::io::Result<String> {
    let head = head(request, request.body.len());
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&request.body).await?;
    let mut answer = Vec::new();
    let mut part = vec![0; PART_BYTES];
    loop {
        let count = stream.read(&mut part).await?;
        if count == 0 {
            break;
        }
        answer.extend_from_slice(&part[..count]);
        tokio::time::sleep(pause).await;
    }
    let text = String::from_utf8_lossy(&answer);
    let status = text.get(9..12).unwrap_or("none").to_owned();
    let is_whole = match status.as_str() {
        "200" => text.matches('x').count() >= LONG_BODY_BYTES,
        "none" => false,
        _ => true,
    };
    is_whole.then_some(status).ok_or_else(|| {
        let read = format!("the answer ends after {} bytes", answer.len());
        std::io::Error::new(std::io::ErrorKind::UnexpectedEof, read)
    })
}
