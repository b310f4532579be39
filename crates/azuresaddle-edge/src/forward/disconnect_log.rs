//! Logs answers that end before they are complete, though neither the node nor a target gave up.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use super::head::ForwardRequest;
use crate::shutdown::{Shutdown, ShutdownStage};

/// Logs when dropped, unless the answer was marked as complete or the request was ended by the stop of the node.
#[derive(Debug)]
pub(super) struct DisconnectLog {
    req: Arc<ForwardRequest>,
    shutdown: Arc<Shutdown>,
    is_complete: Arc<AtomicBool>,
}

/// Marks an answer as complete. Clones share one flag.
#[derive(Clone, Debug)]
pub(super) struct CompletionFlag(Arc<AtomicBool>);

impl DisconnectLog {
    pub(super) fn new(req: &Arc<ForwardRequest>, shutdown: &Arc<Shutdown>) -> Self {
        Self {
            req: Arc::clone(req),
            shutdown: Arc::clone(shutdown),
            is_complete: Arc::default(),
        }
    }

    pub(super) fn completion(&self) -> CompletionFlag {
        CompletionFlag(Arc::clone(&self.is_complete))
    }
}

impl CompletionFlag {
    /// Marks that the final answer has been or is about to be sent to the caller.
    pub(super) fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

impl Drop for DisconnectLog {
    fn drop(&mut self) {
        if self.is_complete.load(Ordering::Relaxed) || self.req.gate.is_closed() {
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
            tracing::info!(part = "forward", request, age_ms, "caller left");
        }
    }
}
