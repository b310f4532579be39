//! One entry of a target, and whether its removal is believed yet.

use std::sync::Arc;

use azuresaddle_core::deployment::{TargetEntry, TargetState};
use azuresaddle_platform::StorePosition;
use tokio::time::Instant;

use super::target_record::TargetRecord;

/// What is known of one entry.
#[derive(Debug)]
pub(super) struct RegistryEntry {
    pub(super) record: Arc<TargetRecord>,
    /// A removal that is believed later, and when.
    pub(super) pending_removal: Option<(Instant, StorePosition)>,
    /// When the removal was learned.
    pub(super) removed_at: Option<Instant>,
}

impl RegistryEntry {
    /// Whether the target takes new work, by its entry.
    pub(super) fn is_ready(&self) -> bool {
        let entry = self.record.entry();
        entry.is_some_and(|e| e.state == TargetState::Ready)
    }

    /// Takes a later record; true where what it says of the target is different.
    pub(super) fn replace(&mut self, now: Instant, record: TargetRecord) -> bool {
        if record.is_removed() {
            self.pending_removal = None;
        }
        self.removed_at = record.is_removed().then(|| self.removed_at.unwrap_or(now));
        let before = std::mem::replace(&mut self.record, Arc::new(record));
        !is_same_state(before.entry(), self.record.entry())
    }
}

fn is_same_state(one: Option<&Arc<TargetEntry>>, other: Option<&Arc<TargetEntry>>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => one.eq_ignoring_sequence(other),
        (None, None) => true,
        _ => false,
    }
}
