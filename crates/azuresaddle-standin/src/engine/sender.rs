//! Sends the events of a stream to one reader.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_node::engine::wire::TokenEvent;
use bytes::Bytes;
use tokio::sync::{Notify, mpsc};

use super::faults::strikes;
use super::server::Shared;

/// Interval of comment lines while no token is ready.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// Sends the events of a stream to one reader, with the faults in force.
pub(super) struct Sender<'a> {
    shared: &'a Shared,
    id: StreamId,
    reader: u64,
    next: u64,
    sent: u64,
    /// An event that comes late.
    held: Option<Bytes>,
    tx: mpsc::Sender<Bytes>,
}

/// What a reader can be given now.
enum Ready {
    Token(TokenEvent),
    Wait(Arc<Notify>),
    End,
}

impl<'a> Sender<'a> {
    /// A sender that begins at the token `next`.
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
            held: None,
            tx,
        }
    }

    pub(super) async fn run(&mut self) {
        loop {
            self.shared.silent().await;
            let ready = self.ready();
            let sent = match ready {
                Ready::Token(event) => self.send(event).await,
                Ready::Wait(changed) => self.wait(&changed).await,
                Ready::End => false,
            };
            if !sent {
                return;
            }
        }
    }

    fn ready(&mut self) -> Ready {
        let mut model = self.shared.model();
        let Some(stream) = model.streams.get_mut(&self.id) else {
            return Ready::End;
        };
        if stream.reader != self.reader || self.next >= stream.answer.tokens() {
            return Ready::End;
        }
        if self.next >= stream.ready {
            return Ready::Wait(Arc::clone(&stream.changed));
        }
        let event = TokenEvent {
            stream: self.id,
            index: self.next,
            token: stream.answer.token(self.next),
            last: self.next + 1 == stream.answer.tokens(),
        };
        self.next += 1;
        stream.read = self.next;
        Ready::Token(event)
    }

    async fn wait(&self, changed: &Notify) -> bool {
        // Waited for with a bound, so that a change between the look and the wait costs little.
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
        let bytes = lines(&event);
        if strikes(faults.crossed_every, number) {
            let mut other = event.clone();
            other.stream.request.0 ^= 1;
            other.token = "stray ".to_owned();
            if self.tx.send(lines(&other)).await.is_err() {
                return false;
            }
        }
        if strikes(faults.missing_every, number) && !event.last {
            return true;
        }
        if strikes(faults.late_every, number) && !event.last {
            self.held = Some(bytes);
            return true;
        }
        let twice = strikes(faults.doubled_every, number);
        if twice && self.tx.send(bytes.clone()).await.is_err() {
            return false;
        }
        if self.tx.send(bytes).await.is_err() {
            return false;
        }
        match self.held.take() {
            Some(late) => self.tx.send(late).await.is_ok(),
            None => true,
        }
    }
}

fn lines(event: &TokenEvent) -> Bytes {
    let json = serde_json::to_string(event).expect("an event serializes");
    Bytes::from(format!("data: {json}\n\n"))
}
