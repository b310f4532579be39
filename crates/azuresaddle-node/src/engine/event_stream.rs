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
pub enum StreamFailure {
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
    silence: Duration,
    line: Vec<u8>,
    ready: VecDeque<TokenEvent>,
}

impl EngineStream {
    pub(super) fn new(body: Incoming, silence: Duration) -> Self {
        Self {
            body,
            silence,
            line: Vec::new(),
            ready: VecDeque::new(),
        }
    }

    /// Waits for the next event.
    ///
    /// # Errors
    /// Where the connection breaks, is silent for too long, or carries what is no event.
    pub async fn next(&mut self) -> Result<TokenEvent, StreamFailure> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Ok(event);
            }
            let frame = tokio::time::timeout(self.silence, self.body.frame())
                .await
                .map_err(|_| StreamFailure::Silent)?
                .ok_or(StreamFailure::Broken)?
                .map_err(|_| StreamFailure::Broken)?;
            if let Some(data) = frame.data_ref() {
                self.push(data)?;
            }
        }
    }

    fn push(&mut self, data: &[u8]) -> Result<(), StreamFailure> {
        for part in data.split_inclusive(|b| *b == b'\n') {
            self.line.extend_from_slice(part);
            if self.line.len() > MAX_LINE_BYTES {
                return Err(StreamFailure::Malformed);
            }
            if self.line.ends_with(b"\n") {
                let line = std::mem::take(&mut self.line);
                self.take_line(&line)?;
            }
        }
        Ok(())
    }

    fn take_line(&mut self, line: &[u8]) -> Result<(), StreamFailure> {
        let Some(data) = line.strip_prefix(DATA_PREFIX) else {
            return Ok(());
        };
        let event = serde_json::from_slice(data).map_err(|_| StreamFailure::Malformed)?;
        self.ready.push_back(event);
        Ok(())
    }
}
