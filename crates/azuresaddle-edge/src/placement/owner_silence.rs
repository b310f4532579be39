//! How long the owner has not answered this node.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Time for which this node has not heard from the owner after which it places its streams itself. The other nodes,
/// which may have lost the owner too, replace it sooner.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(1000);

/// Since when messages to the owner have failed without one that was answered.
#[derive(Debug, Default)]
pub(super) struct OwnerSilence {
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

    /// Whether this node cannot reach the owner, which the other nodes keep.
    pub(super) fn is_unreachable(&self, now: Instant, owner: u64) -> bool {
        let is_long = |(known, at)| known == owner && now - at >= UNREACHABLE_AFTER;
        self.lock().is_some_and(is_long)
    }

    fn lock(&self) -> MutexGuard<'_, Option<(u64, Instant)>> {
        self.since.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
