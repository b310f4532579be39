//! Sends the events of a stream to one reader.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_node::engine::wire::TokenEvent;
use bytes::Bytes;
use tokio::sync::{Notify, mpsc};

use super::faults::is_affected;
use super::server::Shared;

/// Interval at which a comment line is sent while no token is ready.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// Sends the events of a stream to one reader and applies the active faults.
pub(super) struct Sender<'a> {
    shared: &'a Shared,
    id: StreamId,
    reader: u64,
    next: u64,
    sent: u64,
    /// An event that the `late_every` fault delays until after the next one.
    delayed: Option<Bytes>,
    tx: mpsc::Sender<Bytes>,
}

/// What there is to send to a reader.
enum NextEvent {
    Token(TokenEvent),
    Wait(Arc<Notify>),
    End,
}

impl<'a> Sender<'a> {
    /// Creates a sender that starts with the token at index `next`.
    pub(super) fn new(
        shared: &'a Shared,
        id: StreamId,
        reader: u64,
        next: u64,
        tx: mpsc::Sender<Bytes>,
    ) -> Self {
        Self {
            shared,
            id,
            reader,
            next,
            sent: 0,
            delayed: None,
            tx,
        }
    }

    pub(super) async fn run(&mut self) {
        loop {
            self.shared.hang_if_silent().await;
            let next = self.next_event();
            let sent = match next {
                NextEvent::Token(event) => self.send(event).await,
                NextEvent::Wait(changed) => self.wait(&changed).await,
                NextEvent::End => false,
            };
            if !sent {
                return;
            }
        }
    }

    fn next_event(&mut self) -> NextEvent {
        let mut state = self.shared.state();
        let Some(stream) = state.streams.get_mut(&self.id) else {
            return NextEvent::End;
        };
        if stream.reader != self.reader || self.next >= stream.answer.tokens() {
            return NextEvent::End;
        }
        if self.next >= stream.generated_tokens {
            return NextEvent::Wait(Arc::clone(&stream.changed));
        }
        let event = TokenEvent {
            stream: self.id,
            index: self.next,
            token: stream.answer.token(self.next),
            last: self.next + 1 == stream.answer.tokens(),
        };
        self.next += 1;
        stream.read_tokens = self.next;
        NextEvent::Token(event)
    }

    async fn wait(&self, changed: &Notify) -> bool {
        // A change between the check for a token and this wait is missed; the timeout bounds the
        // resulting delay.
        match tokio::time::timeout(KEEP_ALIVE, changed.notified()).await {
            Ok(()) => true,
            Err(_) => self
                .tx
                .send(Bytes::from_static(b": waiting\n\n"))
                .await
                .is_ok(),
        }
    }

    async fn send(&mut self, event: TokenEvent) -> bool {
        let faults = self.shared.faults();
        let number = self.sent;
        self.sent += 1;
        if faults.break_after > 0 && number >= faults.break_after {
            return false;
        }
        let bytes = encode_event(&event);
        if is_affected(faults.crossed_every, number) {
            let mut other = event.clone();
            other.stream.request.0 ^= 1;
            other.token = "stray ".to_owned();
            if self.tx.send(encode_event(&other)).await.is_err() {
                return false;
            }
        }
        if is_affected(faults.missing_every, number) && !event.last {
            return true;
        }
        if is_affected(faults.late_every, number) && !event.last {
            self.delayed = Some(bytes);
            return true;
        }
        let twice = is_affected(faults.doubled_every, number);
        if twice && self.tx.send(bytes.clone()).await.is_err() {
            return false;
        }
        if self.tx.send(bytes).await.is_err() {
            return false;
        }
        match self.delayed.take() {
            Some(late) => self.tx.send(late).await.is_ok(),
            None => true,
        }
    }
}

fn encode_event(event: &TokenEvent) -> Bytes {
    let json = serde_json::to_string(event).expect("an event serializes");
    Bytes::from(format!("data: {json}\n\n"))
}
