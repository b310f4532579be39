//! Client-side reader of the server-sent events of an answer.

use std::collections::VecDeque;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::caller_events::CallerEvent;

/// Reads the caller events of a response.
#[derive(Debug)]
pub struct EventReader {
    body: Incoming,
    idle_timeout: Duration,
    /// Text that was received after the last complete line.
    buffer: String,
    /// Name from the latest `event:` line.
    event_name: String,
    /// Events that were parsed and not yet returned.
    parsed: VecDeque<CallerEvent>,
}

impl EventReader {
    /// Creates a reader of a response's body; `idle_timeout` is the maximum wait for its next
    /// frame.
    pub fn new(body: Incoming, idle_timeout: Duration) -> Self {
        Self {
            body,
            idle_timeout,
            buffer: String::new(),
            event_name: String::new(),
            parsed: VecDeque::new(),
        }
    }

    /// Waits for the next event; returns `None` once the connection has ended, broken or been idle
    /// for the timeout.
    pub async fn next(&mut self) -> Option<CallerEvent> {
        loop {
            if let Some(event) = self.parsed.pop_front() {
                return Some(event);
            }
            let frame = tokio::time::timeout(self.idle_timeout, self.body.frame()).await;
            let frame = frame.ok()??.ok()?;
            if let Some(data) = frame.data_ref() {
                self.buffer.push_str(&String::from_utf8_lossy(data));
                self.parse_lines();
            }
        }
    }

    fn parse_lines(&mut self) {
        while let Some(end) = self.buffer.find('\n') {
            let line: String = self.buffer.drain(..=end).collect();
            let line = line.trim_end();
            if let Some(name) = line.strip_prefix("event: ") {
                name.clone_into(&mut self.event_name);
            } else if let Some(data) = line.strip_prefix("data: ") {
                self.parsed
                    .extend(CallerEvent::parse(&self.event_name, data));
            }
        }
    }
}
