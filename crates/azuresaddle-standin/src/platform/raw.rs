//! A target that writes its answers byte by byte, to break the protocol where a library would not.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azuresaddle_platform::headers;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

use super::plain::plain_body;
use super::target::Target;

/// Longest head that is read, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Time between an early answer and the reading of the body.
const EARLY_PAUSE: Duration = Duration::from_millis(150);

/// How a target breaks the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolFault {
    /// Writes bytes after the answer that belong to no request.
    Surplus,
    /// Writes the answer a second time where the next one is due.
    Repeated,
    /// States no length; the connection ends after the body.
    Unframed,
    /// States no length; the connection is reset in the middle of the body.
    UnframedReset,
    /// Answers before it has read the body, and reads that later.
    Early,
    /// Writes bytes that are no answer.
    Garbage,
}

/// What arrived at a target, in order.
#[derive(Clone, Debug, Default)]
pub struct Arrivals(Arc<Mutex<Vec<Arrival>>>);

/// A request as it arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Id of the attempt; empty where the head had none.
    pub attempt: String,
    /// Whether the body was what the head announced, all of it of one letter.
    pub is_whole: bool,
}

impl Arrivals {
    /// All arrivals so far.
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
                    // A broken connection is the caller's to see.
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

/// What is read of a head.
struct Head {
    attempt: String,
    length: usize,
    account: Option<String>,
    has_key: bool,
}

impl Connection {
    async fn run(mut self) -> io::Result<()> {
        loop {
            let head = self.read_head().await?;
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

    async fn read_head(&mut self) -> io::Result<Head> {
        let mut bytes = Vec::new();
        while !bytes.ends_with(b"\r\n\r\n") {
            if bytes.len() > MAX_HEAD_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
            bytes.push(self.stream.read_u8().await?);
        }
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let value = |name: &str| {
            text.lines().find_map(|line| {
                let (key, value) = line.split_once(':')?;
                key.eq_ignore_ascii_case(name)
                    .then(|| value.trim().to_owned())
            })
        };
        Ok(Head {
            attempt: value(headers::ATTEMPT_ID.as_str()).unwrap_or_default(),
            length: value("content-length")
                .and_then(|v| v.parse().ok())
                .unwrap_or(0),
            account: value(headers::ACCOUNT.as_str()),
            has_key: value("authorization").is_some(),
        })
    }

    /// Answers; false where the connection ends with the answer.
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
            // The beginning arrives before the reset.
            tokio::time::sleep(Duration::from_millis(20)).await;
            stream.set_zero_linger()?;
        }
        Ok(goes_on)
    }
}
