//! Channel that carries the events of an answer to its HTTP response.

use azuresaddle_core::prelude::*;
use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};

use super::caller_events::CallerEvent;
use super::relay::RelayError;

/// Maximum number of events queued for a slow caller; when the queue is full, reading from the
/// target waits for the caller.
const MAX_QUEUED_EVENTS: usize = 64;

/// The end that the relay writes to.
pub(super) struct CallerSink {
    /// Signals once that the answer begins, or the problem if it does not.
    head: Option<oneshot::Sender<Result<(), Problem>>>,
    tx: mpsc::Sender<Bytes>,
}

/// The end that the HTTP response reads from; dropping it tells the relay that the caller has
/// disconnected.
pub(super) struct CallerSource {
    /// Resolves to whether the answer begins; `None` once that is known.
    pub(super) head: Option<oneshot::Receiver<Result<(), Problem>>>,
    pub(super) rx: mpsc::Receiver<Bytes>,
}

/// Creates both ends of the channel.
pub(super) fn caller_channel() -> (CallerSink, CallerSource) {
    let (head_tx, head) = oneshot::channel();
    let (tx, rx) = mpsc::channel(MAX_QUEUED_EVENTS);
    let sink = CallerSink {
        head: Some(head_tx),
        tx,
    };
    let source = CallerSource {
        head: Some(head),
        rx,
    };
    (sink, source)
}

impl CallerSink {
    /// Sends an event; the first one begins the response. Waits while the queue is full.
    pub(super) async fn send(&mut self, event: &CallerEvent) -> Result<(), RelayError> {
        if let Some(head) = self.head.take()
            && head.send(Ok(())).is_err()
        {
            return Err(RelayError::CallerGone);
        }
        let sent = self.tx.send(event.to_bytes()).await;
        sent.map_err(|_| RelayError::CallerGone)
    }

    /// Returns a handle whose `closed` method resolves when the caller disconnects.
    pub(super) fn watch(&self) -> mpsc::Sender<Bytes> {
        self.tx.clone()
    }

    /// Sends the problem of a request that failed: as the response if that has not begun, else as
    /// an error event.
    pub(super) async fn fail(mut self, problem: Problem) {
        match self.head.take() {
            Some(head) => {
                // The send fails only if the caller has disconnected.
                let _ = head.send(Err(problem));
            }
            None => {
                let _ = self.tx.send(CallerEvent::Error(problem).to_bytes()).await;
            }
        }
    }
}
