//! Reads the server-sent events of an engine.

use std::collections::VecDeque;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;

use super::wire::TokenEvent;

/// Maximum length of a line, in bytes; a longer one can't be a token event.
const MAX_LINE_BYTES: usize = 64 << 10;

/// Start of a data line.
const DATA_PREFIX: &[u8] = b"data:";

/// Why a stream of events ended before its last token.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum StreamError {
    /// The connection broke.
    #[error("the connection broke")]
    Broken,
    /// Nothing was received in time, not even a comment line.
    #[error("the connection is silent")]
    Silent,
    /// The data received is not an event.
    #[error("the target sent what is no event")]
    Malformed,
}

/// Token events of one response.
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
    /// Returns an error if the connection breaks, nothing is received in time, or the data is not
    /// an event.
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
