//! Time for which the owner has not answered this node.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Time without an answer of the owner after which this node places its streams itself. If the other nodes have lost the
/// owner too, they replace it sooner.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(1000);

/// Time since which all messages to the owner have failed.
#[derive(Debug, Default)]
pub(super) struct OwnerSilence {
    /// Incarnation of the owner, and when the first of these messages failed; `None` if the last one was answered.
    since: Mutex<Option<(u64, Instant)>>,
}

impl OwnerSilence {
    /// Records that the owner answered a message.
    pub(super) fn on_answer(&self) {
        *self.lock() = None;
    }

    /// Records that a message to the owner failed.
    pub(super) fn on_failure(&self, now: Instant, owner: u64) {
        let mut since = self.lock();
        if since.is_none_or(|(known, _)| known != owner) {
            *since = Some((owner, now));
        }
    }

    /// Whether this node has not reached the owner for so long that it places its streams itself.
    pub(super) fn is_unreachable(&self, now: Instant, owner: u64) -> bool {
        let is_long = |(known, at)| known == owner && now - at >= UNREACHABLE_AFTER;
        self.lock().is_some_and(is_long)
    }

    fn lock(&self) -> MutexGuard<'_, Option<(u64, Instant)>> {
        self.since.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
