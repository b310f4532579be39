//! A registry entry: a target's record and its pending removal.

use std::sync::Arc;
use std::time::Duration;

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
    /// Until when the target counts as cold.
    cold_until: Option<Instant>,
}

impl RegistryEntry {
    pub(super) fn new(now: Instant, record: TargetRecord) -> Self {
        let mut entry = Self {
            pending_removal: None,
            removed_at: record.is_removed().then_some(now),
            cold_until: None,
            record: Arc::new(record),
        };
        entry.update_cold(now);
        entry
    }

    /// Returns whether the target is cold.
    pub(super) fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Takes the target as cold until at least the given time.
    pub(super) fn extend_cold(&mut self, until: Instant) {
        self.cold_until = self.cold_until.max(Some(until));
    }

    /// Ends the cold time once it is over; true if it ended now.
    pub(super) fn expire_cold(&mut self, now: Instant) -> bool {
        self.cold_until.take_if(|until| now >= *until).is_some()
    }

    /// Applies the cold time that the entry states; true if the target was not known to be cold.
    fn update_cold(&mut self, now: Instant) -> bool {
        let stated = self.record.entry().map_or(Duration::ZERO, |e| e.cold_for);
        if stated.is_zero() {
            return false;
        }
        let was_cold = self.is_cold(now);
        self.extend_cold(now + stated);
        !was_cold
    }

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
        let turned_cold = self.update_cold(now);
        turned_cold || !is_same_state(before.entry(), self.record.entry())
    }
}

fn is_same_state(one: Option<&Arc<TargetEntry>>, other: Option<&Arc<TargetEntry>>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => one.eq_ignoring_progress(other),
        (None, None) => true,
        _ => false,
    }
}
