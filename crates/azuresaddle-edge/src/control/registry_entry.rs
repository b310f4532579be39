//! A registry entry: a target's record and its pending removal.

use std::sync::Arc;

use azuresaddle_core::deployment::{TargetEntry, TargetState};
use azuresaddle_platform::StorePosition;
use tokio::time::Instant;

use super::target_record::TargetRecord;

/// A target's record in the registry.
#[derive(Debug)]
pub(super) struct RegistryEntry {
    pub(super) record: Arc<TargetRecord>,
    /// A removal that takes effect after the grace period: when, and its position in the store.
    pub(super) pending_removal: Option<(Instant, StorePosition)>,
    /// When this node learned of the removal.
    pub(super) removed_at: Option<Instant>,
}

impl RegistryEntry {
    /// Returns whether the entry says that the target accepts new work.
    pub(super) fn is_ready(&self) -> bool {
        let entry = self.record.entry();
        entry.is_some_and(|e| e.state == TargetState::Ready)
    }

    /// Replaces the record; true if the target's state changed.
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
