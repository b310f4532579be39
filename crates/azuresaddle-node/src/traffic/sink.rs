//! Where the events of an answer go.

use azuresaddle_core::prelude::*;
use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};

use super::caller_events::CallerEvent;
use super::relay::RelayError;

/// Most events that wait for a slow caller; the target is read no faster than the caller reads.
const MAX_QUEUED_EVENTS: usize = 64;

/// The sending end towards a caller.
pub(super) struct CallerSink {
    /// Told once whether the answer begins, or why not.
    head: Option<oneshot::Sender<Result<(), Problem>>>,
    tx: mpsc::Sender<Bytes>,
}

/// The end that the HTTP response reads from; dropping it tells the relay that the caller is gone.
pub(super) struct CallerSource {
    /// Whether the answer begins, until it is known.
    pub(super) head: Option<oneshot::Receiver<Result<(), Problem>>>,
    pub(super) rx: mpsc::Receiver<Bytes>,
}

/// Makes both ends.
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
    /// Sends an event; the first one begins the response.
    pub(super) async fn send(&mut self, event: &CallerEvent) -> Result<(), RelayError> {
        if let Some(head) = self.head.take()
            && head.send(Ok(())).is_err()
        {
            return Err(RelayError::CallerGone);
        }
        let sent = self.tx.send(event.to_bytes()).await;
        sent.map_err(|_| RelayError::CallerGone)
    }

    /// A handle that tells when the caller has gone away.
    pub(super) fn watch(&self) -> mpsc::Sender<Bytes> {
        self.tx.clone()
    }

    /// Gives the final answer of a request that failed.
    pub(super) async fn fail(mut self, problem: Problem) {
        match self.head.take() {
            Some(head) => {
                // A caller that has gone away needs no answer.
                let _ = head.send(Err(problem));
            }
            None => {
                let _ = self.tx.send(CallerEvent::Error(problem).to_bytes()).await;
            }
        }
    }
}
