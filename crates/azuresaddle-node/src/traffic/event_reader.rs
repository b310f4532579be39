//! Reads the server-sent events of an answer.

use std::collections::VecDeque;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::caller_events::CallerEvent;

/// Reads caller events from a response.
#[derive(Debug)]
pub struct EventReader {
    body: Incoming,
    idle_timeout: Duration,
    buffer: String,
    event_name: String,
    parsed: VecDeque<CallerEvent>,
}

impl EventReader {
    /// Reads a response's body; `idle_timeout` is the longest wait between two pieces of it.
    pub fn new(body: Incoming, idle_timeout: Duration) -> Self {
        Self {
            body,
            idle_timeout,
            buffer: String::new(),
            event_name: String::new(),
            parsed: VecDeque::new(),
        }
    }

    /// The next event; `None` once the connection has ended, broken or fallen silent.
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
