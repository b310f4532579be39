//! Logs answers that end before they are complete, though neither the node nor a target gave up.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use tokio::time::Instant;

use super::head::ForwardRequest;
use crate::shutdown::{Shutdown, ShutdownStage};

/// Logs when dropped, unless the answer was marked as complete or the request was ended by the stop of the node.
#[derive(Debug)]
pub(super) struct DisconnectLog {
    req: Arc<ForwardRequest>,
    shutdown: Arc<Shutdown>,
    progress: Arc<AnswerProgress>,
}

/// Progress of an answer to a caller.
#[derive(Debug, Default)]
pub(super) struct AnswerProgress {
    is_complete: AtomicBool,
    /// When the last event was received; `None` if there was none.
    last_event_at: Mutex<Option<Instant>>,
}

impl DisconnectLog {
    pub(super) fn new(req: &Arc<ForwardRequest>, shutdown: &Arc<Shutdown>) -> Self {
        Self {
            req: Arc::clone(req),
            shutdown: Arc::clone(shutdown),
            progress: Arc::default(),
        }
    }

    pub(super) fn progress(&self) -> Arc<AnswerProgress> {
        Arc::clone(&self.progress)
    }
}

impl AnswerProgress {
    /// Marks that the final answer has been or is about to be sent to the caller.
    pub(super) fn complete(&self) {
        self.is_complete.store(true, Ordering::Relaxed);
    }

    /// Records that an event was received.
    pub(super) fn on_event(&self, now: Instant) {
        let last = self.last_event_at.lock();
        *last.unwrap_or_else(PoisonError::into_inner) = Some(now);
    }

    fn last_event_at(&self) -> Option<Instant> {
        let last = self.last_event_at.lock();
        *last.unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for DisconnectLog {
    fn drop(&mut self) {
        if self.progress.is_complete.load(Ordering::Relaxed) || self.req.gate.is_closed() {
            return;
        }
        let request = self.req.head.id();
        let age_ms = self.req.arrived.elapsed().as_millis() as u64;
        if self.shutdown.stage() == ShutdownStage::Ending {
            tracing::info!(
                part = "forward",
                request,
                age_ms,
                "cut by the stop of the node"
            );
        } else {
            let waited_since = self.progress.last_event_at().unwrap_or(self.req.arrived);
            tracing::info!(
                part = "forward",
                request,
                age_ms,
                sends = self.req.gate.sends(),
                waited_ms = waited_since.elapsed().as_millis() as u64,
                "caller left"
            );
        }
    }
}
