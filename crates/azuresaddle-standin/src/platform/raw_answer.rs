//! A target that writes given bytes in place of an answer.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use azuresaddle_platform::RESERVATION_PATH;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};

use super::caller::STEPS_PER_EVENT;
use super::engine::event_text;
use super::plain::plain_body;
use super::raw::{Head, read_head};
use super::target::Target;

/// Time for the bytes before a reset to arrive.
const RESET_DELAY: Duration = Duration::from_millis(20);

/// Size of one write of bytes without end.
const WRITE_BYTES: usize = 16 << 10;

/// Pause between two such writes. Leaves processor time to the node, and fills its limits within a second.
const FLOOD_PAUSE: Duration = Duration::from_millis(1);

/// Bytes that a target writes in place of an answer.
#[derive(Clone, Debug)]
pub struct RawAnswer {
    /// Written first, with these replaced: `{attempt}`, `{signature}`, `{body}` by the body of the right answer, `{length}` by
    /// its length, `{half}` by its first half, `{few}` by its first bytes and `{chunk}` by the body as one chunk.
    pub start: String,
    /// What follows.
    pub end: RawEnd,
}

/// What follows the first bytes of a [`RawAnswer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RawEnd {
    /// The end of the connection.
    Close,
    /// A reset of the connection.
    Reset,
    /// A reset of the connection after this time. The answer is written before the body of the request, of which nothing is
    /// read.
    EarlyReset(Duration),
    /// The next request.
    Next,
    /// The next request. The answer is written this long after its request.
    Delayed(Duration),
    /// Nothing more, until the other side closes the connection.
    Silence,
    /// These bytes again and again, some megabytes a second.
    Endless(&'static str),
    /// One byte of these at a time, again and again, with this pause before each.
    Trickle(&'static str, Duration),
}

/// Connections of a target; cheap to clone.
#[derive(Clone, Debug)]
pub struct RawConnections {
    /// Address of the target.
    pub addr: SocketAddr,
    used: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
}

impl RawConnections {
    /// Returns the number of requests that arrived.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// Returns the number of open connections on which a request arrived.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }
}

/// Counts as one connection in use until dropped.
struct UsedConnection(Arc<AtomicUsize>);

impl UsedConnection {
    fn new(used: &Arc<AtomicUsize>) -> Self {
        used.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(used))
    }
}

impl Drop for UsedConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves until the target is stopped.
pub(super) fn serve_raw_answer(
    listener: TcpListener,
    target: Arc<Target>,
    answer: RawAnswer,
) -> RawConnections {
    let connections = RawConnections {
        addr: target.addr,
        used: Arc::default(),
        requests: Arc::default(),
    };
    let counts = connections.clone();
    let answer = Arc::new(answer);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let counts = counts.clone();
            let (target, answer) = (Arc::clone(&target), Arc::clone(&answer));
            tokio::spawn(async move {
                let stopped = target.stopped.clone();
                tokio::select! {
                    () = stopped.cancelled() => {}
                    // The caller notices a broken connection itself.
                    _ = serve_connection(stream, &target, &answer, &counts) => {}
                }
            });
        }
    });
    connections
}

async fn serve_connection(
    stream: TcpStream,
    target: &Target,
    answer: &RawAnswer,
    counts: &RawConnections,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = BufReader::new(stream);
    let mut counted = None;
    loop {
        let head = read_head(&mut stream).await?;
        counted.get_or_insert_with(|| UsedConnection::new(&counts.used));
        counts.requests.fetch_add(1, Ordering::Relaxed);
        if !matches!(answer.end, RawEnd::EarlyReset(_)) {
            stream.read_exact(&mut vec![0; head.length]).await?;
        }
        let account = head.account.as_deref();
        target
            .runs
            .record_run(&head.attempt, &target.service, account, head.has_key);
        if let RawEnd::Delayed(delay) = answer.end {
            tokio::time::sleep(delay).await;
        }
        let start = fill_in(&answer.start, target, &head);
        stream.get_mut().write_all(start.as_bytes()).await?;
        let (rx, tx) = stream.get_mut().split();
        match answer.end {
            RawEnd::Next | RawEnd::Delayed(_) => {}
            RawEnd::Silence => return write_forever(rx, tx, &[], None).await,
            RawEnd::Close => return Ok(()),
            RawEnd::Reset => {
                tokio::time::sleep(RESET_DELAY).await;
                return stream.get_mut().set_zero_linger();
            }
            RawEnd::EarlyReset(delay) => {
                tokio::time::sleep(delay).await;
                return stream.get_mut().set_zero_linger();
            }
            RawEnd::Endless(bytes) => {
                let many = bytes.repeat(WRITE_BYTES / bytes.len());
                let pause = Some(FLOOD_PAUSE);
                return write_forever(rx, tx, &[many.as_bytes()], pause).await;
            }
            RawEnd::Trickle(bytes, pause) => {
                let single: Vec<&[u8]> = bytes.as_bytes().chunks(1).collect();
                return write_forever(rx, tx, &single, Some(pause)).await;
            }
        }
    }
}

/// Writes parts in turn until the other side closes the connection.
async fn write_forever(
    mut rx: ReadHalf<'_>,
    mut tx: WriteHalf<'_>,
    parts: &[&[u8]],
    pause: Option<Duration>,
) -> io::Result<()> {
    let write = async {
        for part in parts.iter().cycle() {
            if let Some(pause) = pause {
                tokio::time::sleep(pause).await;
            }
            tx.write_all(part).await?;
        }
        std::future::pending().await
    };
    let mut buf = [0];
    tokio::select! {
        written = write => written,
        read = rx.read(&mut buf) => read.map(|_| ()),
    }
}

fn fill_in(text: &str, target: &Target, head: &Head) -> String {
    let body: String = match head.tokens {
        None if head.path == RESERVATION_PATH => json!({"unallocated": 0}).to_string(),
        None => plain_body(&head.attempt),
        Some((_, answer)) => (1..=answer.div_ceil(STEPS_PER_EVENT))
            .map(event_text)
            .collect(),
    };
    let chunk = format!("{:x}\r\n{body}\r\n", body.len());
    text.replace("{attempt}", &head.attempt)
        .replace("{signature}", &format!("{}.{}", target.id, head.attempt))
        .replace("{length}", &body.len().to_string())
        .replace("{half}", &body[..body.len() / 2])
        .replace("{few}", &body[..3])
        .replace("{chunk}", &chunk)
        .replace("{body}", &body)
}
