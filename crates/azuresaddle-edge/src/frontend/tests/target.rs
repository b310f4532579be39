//! A target that answers with events.

use std::time::Duration;

use azuresaddle_core::prelude::Listener;
use azuresaddle_platform::headers;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::time::Instant;

use crate::control::tests::memory_network::MemoryListener;

/// The answer of a target.
#[derive(Clone, Copy)]
pub(super) struct Events {
    pub(super) count: usize,
    /// Length of an event in bytes.
    pub(super) length: usize,
    pub(super) interval: Duration,
}

/// What became of an answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Written {
    /// Events that the node took.
    pub(super) count: usize,
    /// When the last one was taken, or the node closed the connection.
    pub(super) at: Instant,
}

impl Events {
    /// The event with this number.
    fn event(&self, number: usize) -> Vec<u8> {
        let mut event = format!("id: {number}\ndata: ").into_bytes();
        event.resize(self.length - 2, b'x');
        event.extend_from_slice(b"\n\n");
        event
    }

    /// The whole answer.
    pub(super) fn body(&self) -> Vec<u8> {
        (1..=self.count).flat_map(|n| self.event(n)).collect()
    }

    /// Accepts one connection and answers the first request on it.
    pub(super) async fn answer_one(self, listener: &mut MemoryListener) -> Written {
        self.answer(listener.accept().await.unwrap()).await
    }

    /// Answers the first request on a connection.
    pub(super) async fn answer(self, mut stream: DuplexStream) -> Written {
        read_head(&mut stream).await;
        // The node may close the connection at any time.
        let _ = stream.write_all(chunked_head().as_bytes()).await;
        for number in 1..=self.count {
            tokio::time::sleep(self.interval).await;
            let event = self.event(number);
            let mut chunk = format!("{:x}\r\n", event.len()).into_bytes();
            chunk.extend_from_slice(&event);
            chunk.extend_from_slice(b"\r\n");
            if stream.write_all(&chunk).await.is_err() {
                return Written {
                    count: number - 1,
                    at: Instant::now(),
                };
            }
        }
        // The node may have closed the connection.
        let _ = stream.write_all(b"0\r\n\r\n").await;
        Written {
            count: self.count,
            at: Instant::now(),
        }
    }
}

/// Reads the head of a request, and none of its body.
pub(super) async fn read_head(stream: &mut DuplexStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
    String::from_utf8(head).unwrap()
}

/// Accepts a connection and reads the head of the request on it.
pub(super) async fn accept_request(listener: &mut MemoryListener) -> DuplexStream {
    let mut stream = listener.accept().await.unwrap();
    read_head(&mut stream).await;
    stream
}

/// Serves each connection of a node with a task of its own until `work` ends, and returns the result of `work`.
pub(super) async fn serve_until<T, S>(
    listener: &mut MemoryListener,
    work: impl Future<Output = T>,
    serve: impl Fn(DuplexStream) -> S,
) -> T
where
    S: Future<Output = ()> + Send + 'static,
{
    let targets = async {
        loop {
            let stream = listener.accept().await.unwrap();
            tokio::spawn(serve(stream));
        }
    };
    tokio::select! {
        result = work => result,
        () = targets => unreachable!(),
    }
}

/// The head of an answer in chunked encoding.
pub(super) fn chunked_head() -> String {
    let id = headers::ATTEMPT_ID;
    format!("HTTP/1.1 200 OK\r\n{id}: 1\r\ntransfer-encoding: chunked\r\n\r\n")
}

/// The head of an answer with a body of `length` bytes.
pub(super) fn plain_head(length: usize) -> String {
    let id = headers::ATTEMPT_ID;
    format!("HTTP/1.1 200 OK\r\n{id}: 1\r\ncontent-length: {length}\r\n\r\n")
}

/// A short event of a stream.
pub(super) fn short_event(id: u64) -> String {
    format!("id: {id}\ndata: {id}\n\n")
}

/// A chunk with a short event.
pub(super) fn event_chunk(id: u64) -> String {
    let event = short_event(id);
    format!("{:x}\r\n{event}\r\n", event.len())
}

/// The body of a stream of short events.
pub(super) fn short_events(count: u64) -> Vec<u8> {
    let events: String = (1..=count).map(short_event).collect();
    events.into_bytes()
}

/// The last event that the caller of a stream has; 0 if it has none.
pub(super) fn last_event_id(request: &str) -> u64 {
    let header = format!("{}: ", headers::LAST_EVENT_ID);
    let last = request.lines().find_map(|l| l.strip_prefix(&header));
    last.map_or(0, |id| id.parse().unwrap())
}
