//! Server-sent events of an engine.

use std::collections::VecDeque;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;

use super::wire::TokenEvent;

/// Longest line, in bytes; a longer one is no token event.
const MAX_LINE_BYTES: usize = 64 << 10;

/// Start of a line that carries data.
const DATA_PREFIX: &[u8] = b"data:";

/// Why a stream of events ended before its last token.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum StreamError {
    /// The connection broke.
    #[error("the connection broke")]
    Broken,
    /// Nothing came for too long, not even a comment.
    #[error("the connection is silent")]
    Silent,
    /// What came is no event.
    #[error("the target sent what is no event")]
    Malformed,
}

/// Reads token events.
#[derive(Debug)]
pub struct EngineStream {
    body: Incoming,
    idle_timeout: Duration,
    line: Vec<u8>,
    ready: VecDeque<TokenEvent>,
}

impl EngineStream {
    pub(super) fn new(body: Incoming, idle_timeout: Duration) -> Self {
        Self {
            body,
            idle_timeout,
            line: Vec::new(),
            ready: VecDeque::new(),
        }
    }

    /// Waits for the next event.
    ///
    /// # Errors
    /// Where the connection breaks, is silent for too long, or carries what is no event.
    pub async fn next(&mut self) -> Result<TokenEvent, StreamError> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Ok(event);
            }
            let frame = tokio::time::timeout(self.idle_timeout, self.body.frame())
                .await
                .map_err(|_| StreamError::Silent)?
                .ok_or(StreamError::Broken)?
                .map_err(|_| StreamError::Broken)?;
            if let Some(data) = frame.data_ref() {
                self.push(data)?;
            }
        }
    }

    fn push(&mut self, data: &[u8]) -> Result<(), StreamError> {
        for part in data.split_inclusive(|b| *b == b'\n') {
            self.line.extend_from_slice(part);
            if self.line.len() > MAX_LINE_BYTES {
                return Err(StreamError::Malformed);
            }
            if self.line.ends_with(b"\n") {
                let line = std::mem::take(&mut self.line);
                self.parse_line(&line)?;
            }
        }
        Ok(())
    }

    fn parse_line(&mut self, line: &[u8]) -> Result<(), StreamError> {
        let Some(data) = line.strip_prefix(DATA_PREFIX) else {
            return Ok(());
        };
        let event = serde_json::from_slice(data).map_err(|_| StreamError::Malformed)?;
        self.ready.push_back(event);
        Ok(())
    }
}
