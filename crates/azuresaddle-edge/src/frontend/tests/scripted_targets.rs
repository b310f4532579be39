//! Targets that answer the sends of a node as a test says, in the order of the sends.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use azuresaddle_core::prelude::Listener;
use azuresaddle_platform::headers;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::test_node::TestNode;
use crate::control::tests::memory_network::{MemoryListener, memory_network};

/// How a target ends a send.
#[derive(Clone, Copy, Debug)]
pub(super) enum Reply {
    /// Answers with status 200 and the number of the send, after this time.
    Ok(Duration),
    /// Answers with status 500, after this time.
    Error(Duration),
    /// Answers that it did not run the request, after this time.
    NotRun(Duration),
    /// Closes the connection, after this time.
    Break(Duration),
    /// Answers with status 200 and so many bytes, after this time.
    Large(Duration, usize),
    /// Answers at once, and is silent after half of so many bytes.
    Half(usize),
    /// Is silent until the node closes the connection.
    Never,
}

impl Reply {
    fn delay(self) -> Duration {
        match self {
            Self::Ok(delay) | Self::Error(delay) | Self::NotRun(delay) | Self::Break(delay) => {
                delay
            }
            Self::Large(delay, _) => delay,
            Self::Half(_) => Duration::ZERO,
            Self::Never => Duration::MAX,
        }
    }

    /// The answer to the send with this number; `None` if the connection is closed instead.
    fn answer(self, number: usize) -> Option<String> {
        let status = match self {
            Self::Ok(_) | Self::Large(..) | Self::Half(_) => "200 OK",
            Self::Error(_) => "500 Internal Server Error",
            Self::NotRun(_) => "503 Service Unavailable",
            Self::Break(_) | Self::Never => return None,
        };
        let not_run = match self {
            Self::NotRun(_) => format!("{}: 1\r\n", headers::NOT_RUN),
            _ => String::new(),
        };
        let id = headers::ATTEMPT_ID;
        let (body, length) = match self {
            Self::Large(_, length) => ("x".repeat(length), length),
            Self::Half(length) => ("x".repeat(length / 2), length),
            _ => (number.to_string(), number.to_string().len()),
        };
        Some(format!(
            "HTTP/1.1 {status}\r\n{id}: 1\r\n{not_run}content-length: {length}\r\n\r\n{body}"
        ))
    }
}

/// A send as its target saw it.
#[derive(Clone, Debug)]
pub(super) struct SeenSend {
    pub(super) target: String,
    pub(super) at: Instant,
    /// When the node closed the connection before the answer.
    pub(super) cancelled_at: Option<Instant>,
}

/// All targets of a node.
pub(super) struct ScriptedTargets {
    seen: Arc<Mutex<Vec<SeenSend>>>,
    task: JoinHandle<()>,
}

impl ScriptedTargets {
    /// Answers the sends of `node` with these replies in turn, and later ones at once.
    pub(super) fn open(node: &mut TestNode, replies: &[Reply]) -> Self {
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 8149));
        let (_, unused) = memory_network(addr);
        let listener = std::mem::replace(&mut node.target, unused);
        let seen: Arc<Mutex<Vec<SeenSend>>> = Arc::default();
        let task = tokio::spawn(accept_all(listener, replies.to_vec(), Arc::clone(&seen)));
        Self { seen, task }
    }

    /// Refuses new connections from now on; open ones stay.
    pub(super) async fn refuse_connections(&mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
    }

    /// All sends so far.
    pub(super) fn seen(&self) -> Vec<SeenSend> {
        self.seen.lock().unwrap().clone()
    }
}

async fn accept_all(
    mut listener: MemoryListener,
    replies: Vec<Reply>,
    seen: Arc<Mutex<Vec<SeenSend>>>,
) {
    loop {
        let stream = listener.accept().await.unwrap();
        tokio::spawn(serve(stream, replies.clone(), Arc::clone(&seen)));
    }
}

/// Answers all requests on a connection.
async fn serve(mut stream: DuplexStream, replies: Vec<Reply>, seen: Arc<Mutex<Vec<SeenSend>>>) {
    while let Some(head) = read_request(&mut stream).await {
        let number = {
            let mut seen = seen.lock().unwrap();
            seen.push(SeenSend {
                target: expected_target(&head),
                at: Instant::now(),
                cancelled_at: None,
            });
            seen.len() - 1
        };
        let reply = replies.get(number).copied();
        let reply = reply.unwrap_or(Reply::Ok(Duration::ZERO));
        let is_due = tokio::select! {
            biased;
            () = tokio::time::sleep(reply.delay()) => true,
            _ = stream.read_u8() => false,
        };
        if !is_due {
            seen.lock().unwrap()[number].cancelled_at = Some(Instant::now());
            return;
        }
        let Some(answer) = reply.answer(number) else {
            return;
        };
        // The node may close the connection at the same time.
        let _ = stream.write_all(answer.as_bytes()).await;
    }
}

/// Reads the head of a request; `None` if the node closes the connection without one.
async fn read_request(stream: &mut DuplexStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(head).ok()
}

/// The target that a request is meant for.
pub(super) fn expected_target(head: &str) -> String {
    let name = format!("{}: ", headers::EXPECTED_TARGET);
    let target = head.lines().find_map(|l| l.strip_prefix(&name));
    target.unwrap().to_owned()
}
