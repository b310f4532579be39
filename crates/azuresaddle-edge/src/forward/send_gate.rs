//! Decides between sending a request and ending it because the node stops.

use azuresaddle_core::prelude::*;
use tokio::sync::watch;

/// Whether a request may have run, and whether it may still be sent.
///
/// The relay of a stream runs in a task of its own. Without the gate, it could send a request that is being refused as not
/// run.
#[derive(Debug)]
pub(crate) struct SendGate(watch::Sender<GateState>);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GateState {
    /// Not sent, or all sends so far were declined.
    NotRun,
    /// A target may have begun to run the request.
    MayHaveRun,
    /// Closed: the request must not be sent any more.
    Closed,
}

impl Default for SendGate {
    fn default() -> Self {
        Self(watch::Sender::new(GateState::NotRun))
    }
}

impl SendGate {
    /// Marks the request as sent. Returns `false` if the gate is closed.
    pub(super) fn try_send(&self) -> bool {
        self.0.send_if_modified(|state| {
            let is_open = *state != GateState::Closed;
            if is_open {
                *state = GateState::MayHaveRun;
            }
            is_open
        })
    }

    /// Marks that none of the sends so far ran.
    pub(super) fn on_not_run(&self) {
        self.0.send_if_modified(|state| {
            let was_sent = *state == GateState::MayHaveRun;
            if was_sent {
                *state = GateState::NotRun;
            }
            was_sent
        });
    }

    /// Waits until the request is known not to have run, and closes the gate.
    pub(super) async fn close_unsent(&self) {
        let mut changes = self.0.subscribe();
        while !self.try_close_unsent() {
            // The channel stays open, since `self` has its sender.
            let _ = changes.changed().await;
        }
    }

    fn try_close_unsent(&self) -> bool {
        self.0.send_if_modified(|state| {
            let is_unsent = *state == GateState::NotRun;
            if is_unsent {
                *state = GateState::Closed;
            }
            is_unsent
        })
    }

    /// Closes the gate, and tells whether the request may have run.
    pub(super) fn close(&self) -> Verdict {
        match self.0.send_replace(GateState::Closed) {
            GateState::NotRun => Verdict::NotRun,
            GateState::MayHaveRun | GateState::Closed => Verdict::MayHaveRun,
        }
    }

    pub(super) fn is_closed(&self) -> bool {
        *self.0.borrow() == GateState::Closed
    }
}
