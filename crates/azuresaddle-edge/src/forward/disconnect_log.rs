//! Logs callers that disconnect before their answer is complete.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::time::Instant;

/// Logs a disconnect when dropped, unless the answer was marked as complete.
#[derive(Debug)]
pub(super) struct DisconnectLog {
    request: String,
    arrived: Instant,
    is_complete: Arc<AtomicBool>,
}

/// Marks an answer as complete. Clones share one flag.
#[derive(Clone, Debug)]
pub(super) struct CompletionFlag(Arc<AtomicBool>);

impl DisconnectLog {
    pub(super) fn new(request: &str, arrived: Instant) -> Self {
        Self {
            request: request.to_owned(),
            arrived,
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
        if self.is_complete.load(Ordering::Relaxed) {
            return;
        }
        tracing::info!(
            part = "forward",
            request = self.request,
            age_ms = self.arrived.elapsed().as_millis() as u64,
            "caller left"
        );
    }
}
