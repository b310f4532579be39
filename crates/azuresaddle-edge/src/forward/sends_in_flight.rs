//! The sends of one plain request whose answers are awaited at the same time.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use azuresaddle_core::deployment::TargetEntry;
use azuresaddle_core::prelude::*;
use tokio::sync::watch;
use tokio::time::Instant;

use super::attempt::SendFailure;
use super::plain_send::TargetAnswer;
use crate::targets::InFlightGuard;

/// A send of a request: to which target, and since when.
#[derive(Clone)]
pub(super) struct PlainSend {
    pub(super) target: Arc<TargetEntry>,
    pub(super) sent_at: Instant,
}

/// How a send ended.
pub(super) type SendResult = Result<TargetAnswer, SendFailure>;

/// Sends in flight, the earliest first. Dropping one closes its connection.
pub(super) struct SendsInFlight<F>(Vec<InFlight<F>>);

struct InFlight<F> {
    send: PlainSend,
    /// Set once the target has been silent for too long.
    is_silent: watch::Receiver<bool>,
    result: Pin<Box<F>>,
    _guard: InFlightGuard,
}

impl<F> SendsInFlight<F> {
    pub(super) fn new() -> Self {
        Self(Vec::new())
    }

    pub(super) fn push(
        &mut self,
        send: PlainSend,
        is_silent: watch::Receiver<bool>,
        guard: InFlightGuard,
        result: F,
    ) {
        self.0.push(InFlight {
            send,
            is_silent,
            result: Box::pin(result),
            _guard: guard,
        });
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// The targets of all sends.
    pub(super) fn targets(&self) -> Vec<HostName> {
        let targets = self.0.iter().map(|s| s.send.target.id.clone());
        targets.collect()
    }

    /// Whether each target has been silent for too long.
    pub(super) fn silences(&self) -> Vec<watch::Receiver<bool>> {
        self.0.iter().map(|s| s.is_silent.clone()).collect()
    }

    /// Closes the connections of all sends, and returns the sends.
    pub(super) fn cancel_all(&mut self) -> Vec<PlainSend> {
        self.0.drain(..).map(|s| s.send).collect()
    }
}

impl<F: Future<Output = SendResult>> SendsInFlight<F> {
    /// Waits until a send ends, and removes it. If several have ended, it is the earliest one.
    pub(super) async fn next_ended(&mut self) -> (PlainSend, SendResult) {
        poll_fn(|cx| self.poll_ended(cx)).await
    }

    fn poll_ended(&mut self, cx: &mut Context<'_>) -> Poll<(PlainSend, SendResult)> {
        for index in 0..self.0.len() {
            if let Poll::Ready(result) = self.0[index].result.as_mut().poll(cx) {
                return Poll::Ready((self.0.remove(index).send, result));
            }
        }
        Poll::Pending
    }
}
