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
    silence: Duration,
    text: String,
    name: String,
    ready: VecDeque<CallerEvent>,
}

impl EventReader {
    /// Reads a response's body; `silence` is the longest wait between two pieces of it.
    pub fn new(body: Incoming, silence: Duration) -> Self {
        Self {
            body,
            silence,
            text: String::new(),
            name: String::new(),
            ready: VecDeque::new(),
        }
    }

    /// The next event; `None` once the connection has ended, broken or fallen silent.
    pub async fn next(&mut self) -> Option<CallerEvent> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Some(event);
            }
            let frame = tokio::time::timeout(self.silence, self.body.frame()).await;
            let frame = frame.ok()??.ok()?;
            if let Some(data) = frame.data_ref() {
                self.text.push_str(&String::from_utf8_lossy(data));
                self.take_lines();
            }
        }
    }

    fn take_lines(&mut self) {
        while let Some(end) = self.text.find('\n') {
            let line: String = self.text.drain(..=end).collect();
            let line = line.trim_end();
            if let Some(name) = line.strip_prefix("event: ") {
                name.clone_into(&mut self.name);
            } else if let Some(data) = line.strip_prefix("data: ") {
                self.ready.extend(CallerEvent::parse(&self.name, data));
            }
        }
    }
}
