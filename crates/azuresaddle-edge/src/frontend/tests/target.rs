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
        let id = headers::ATTEMPT_ID;
        let head = format!("HTTP/1.1 200 OK\r\n{id}: 1\r\ntransfer-encoding: chunked\r\n\r\n");
        // The node may close the connection at any time.
        let _ = stream.write_all(head.as_bytes()).await;
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
