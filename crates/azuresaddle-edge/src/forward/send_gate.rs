//! Decides between sending a request and ending it because the node stops.

use std::sync::atomic::{AtomicU32, Ordering};

use azuresaddle_core::prelude::*;
use tokio::sync::watch;

/// Whether a request may have run, and whether it may still be sent.
///
/// The relay of a stream runs in a task of its own. Without the gate, it could send a request that is being refused as not
/// run.
#[derive(Debug)]
pub(crate) struct SendGate {
    state: watch::Sender<GateState>,
    /// Number of sends that the gate has let through.
    sends: AtomicU32,
}

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
        Self {
            state: watch::Sender::new(GateState::NotRun),
            sends: AtomicU32::new(0),
        }
    }
}

impl SendGate {
    /// Marks the request as sent. Returns `false` if the gate is closed.
    pub(super) fn try_send(&self) -> bool {
        let is_open = self.state.send_if_modified(|state| {
            let is_open = *state != GateState::Closed;
            if is_open {
                *state = GateState::MayHaveRun;
            }
            is_open
        });
        if is_open {
            self.sends.fetch_add(1, Ordering::Relaxed);
        }
        is_open
    }

    /// Number of sends so far.
    pub(super) fn sends(&self) -> u32 {
        self.sends.load(Ordering::Relaxed)
    }

    /// Marks that none of the sends so far ran.
    pub(super) fn on_not_run(&self) {
        self.state.send_if_modified(|state| {
            let was_sent = *state == GateState::MayHaveRun;
            if was_sent {
                *state = GateState::NotRun;
            }
            was_sent
        });
    }

    /// Waits until the request is known not to have run, and closes the gate.
    pub(super) async fn close_unsent(&self) {
        let mut changes = self.state.subscribe();
        while !self.try_close_unsent() {
            // The channel stays open, since `self` has its sender.
            let _ = changes.changed().await;
        }
    }

    fn try_close_unsent(&self) -> bool {
        self.state.send_if_modified(|state| {
            let is_unsent = *state == GateState::NotRun;
            if is_unsent {
                *state = GateState::Closed;
            }
            is_unsent
        })
    }

    /// Closes the gate, and tells whether the request may have run.
    pub(super) fn close(&self) -> Verdict {
        match self.state.send_replace(GateState::Closed) {
            GateState::NotRun => Verdict::NotRun,
            GateState::MayHaveRun | GateState::Closed => Verdict::MayHaveRun,
        }
    }

    pub(super) fn is_closed(&self) -> bool {
        *self.state.borrow() == GateState::Closed
    }
}
