//! A target that writes raw bytes to the connection, to violate HTTP in ways that a library prevents.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azuresaddle_platform::headers;
use hyper::header::HeaderValue;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

use super::plain::plain_body;
use super::target::Target;

/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Pause between an early answer and reading the request body.
const EARLY_PAUSE: Duration = Duration::from_millis(150);

/// The way in which a target violates HTTP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolFault {
    /// Writes extra bytes after the answer.
    Surplus,
    /// Writes the answer twice, so that the copy is in the place of the next answer.
    Repeated,
    /// Sends no length; the end of the connection ends the body.
    Unframed,
    /// Sends no length and resets the connection in the middle of the body.
    UnframedReset,
    /// Answers before it reads the request body.
    Early,
    /// Writes bytes that are not HTTP.
    Garbage,
}

/// Requests that arrived at a target, in order; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Arrivals(Arc<Mutex<Vec<Arrival>>>);

/// A request as it arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Id of the attempt; empty if the head had none.
    pub attempt: String,
    /// Whether the body consisted of the letter `x` alone over the length that the head announced.
    pub is_whole: bool,
}

impl Arrivals {
    /// Returns all arrivals so far.
    pub fn all(&self) -> Vec<Arrival> {
        self.lock().clone()
    }

    fn push(&self, arrival: Arrival) {
        self.lock().push(arrival);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Arrival>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves until the target is stopped.
pub(super) fn serve_raw(
    listener: TcpListener,
    target: Arc<Target>,
    fault: ProtocolFault,
    arrivals: Arrivals,
) {
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let conn = Connection {
                stream: BufReader::new(stream),
                target: Arc::clone(&target),
                fault,
                arrivals: arrivals.clone(),
            };
            let stopped = target.stopped.clone();
            tokio::spawn(async move {
                tokio::select! {
                    () = stopped.cancelled() => {}
                    // The caller notices a broken connection itself.
                    _ = conn.run() => {}
                }
            });
        }
    });
}

struct Connection {
    stream: BufReader<TcpStream>,
    target: Arc<Target>,
    fault: ProtocolFault,
    arrivals: Arrivals,
}

/// The parts of a request head that the target uses.
pub(super) struct Head {
    pub(super) path: String,
    pub(super) attempt: String,
    pub(super) length: usize,
    pub(super) account: Option<String>,
    pub(super) has_key: bool,
    /// Numbers of prompt and answer tokens.
    pub(super) tokens: Option<(u64, u64)>,
}

impl Connection {
    async fn run(mut self) -> io::Result<()> {
        loop {
            let head = read_head(&mut self.stream).await?;
            let is_early = self.fault == ProtocolFault::Early;
            if is_early {
                self.run_and_answer(&head).await?;
                tokio::time::sleep(EARLY_PAUSE).await;
            }
            let mut body = vec![0; head.length];
            self.stream.read_exact(&mut body).await?;
            let is_whole = body.iter().all(|b| *b == b'x');
            self.arrivals.push(Arrival {
                attempt: head.attempt.clone(),
                is_whole,
            });
            if !is_early && !self.run_and_answer(&head).await? {
                return Ok(());
            }
        }
    }

    /// Records the run and writes the answer; returns `false` if the connection ends after it.
    async fn run_and_answer(&mut self, head: &Head) -> io::Result<bool> {
        let Head {
            attempt,
            account,
            has_key,
            ..
        } = head;
        let service = &self.target.service;
        self.target
            .runs
            .record_run(attempt, service, account.as_deref(), *has_key);
        let body = plain_body(attempt);
        let signature = format!("{}.{attempt}", self.target.id);
        let id = headers::ATTEMPT_ID;
        let signature_header = headers::SIGNATURE;
        let start =
            format!("HTTP/1.1 200 OK\r\n{id}: {attempt}\r\n{signature_header}: {signature}\r\n");
        let framed = format!("{start}content-length: {}\r\n\r\n{body}", body.len());
        let unframed = format!("{start}connection: close\r\n\r\n{body}");
        let (text, goes_on) = match self.fault {
            ProtocolFault::Surplus => (format!("{framed}HTTP/1.1 200 OK\r\n"), true),
            ProtocolFault::Repeated => (format!("{framed}{framed}"), true),
            ProtocolFault::Early => (framed, true),
            ProtocolFault::Unframed => (unframed, false),
            ProtocolFault::UnframedReset => (unframed[..unframed.len() - 4].to_owned(), false),
            ProtocolFault::Garbage => (
                "\u{1}\u{2} nothing like an answer\r\n\r\n".to_owned(),
                false,
            ),
        };
        let stream = self.stream.get_mut();
        stream.write_all(text.as_bytes()).await?;
        if self.fault == ProtocolFault::UnframedReset {
            // Lets the start of the answer arrive before the reset.
            tokio::time::sleep(Duration::from_millis(20)).await;
            stream.set_zero_linger()?;
        }
        Ok(goes_on)
    }
}

pub(super) async fn read_head(stream: &mut BufReader<TcpStream>) -> io::Result<Head> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        if bytes.len() > MAX_HEAD_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        bytes.push(stream.read_u8().await?);
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let value = |name: &str| {
        text.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name)
                .then(|| value.trim().to_owned())
        })
    };
    let tokens = value(headers::TOKEN_COUNTS.as_str());
    let tokens = tokens.and_then(|v| HeaderValue::try_from(v).ok());
    Ok(Head {
        path: text.split(' ').nth(1).unwrap_or_default().to_owned(),
        attempt: value(headers::ATTEMPT_ID.as_str()).unwrap_or_default(),
        length: value("content-length")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0),
        account: value(headers::ACCOUNT.as_str()),
        has_key: value("authorization").is_some(),
        tokens: tokens.as_ref().and_then(headers::parse_token_counts),
    })
}
