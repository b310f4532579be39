//! Memory for heads of requests that are longer than usual.

use std::io;

use azuresaddle_core::byte_budget::{AccountBudget, HeldFor, Permit};

use super::connection_activity::Activity;

/// Bytes of a head that are part of the fixed cost of a connection.
const FREE_BYTES: usize = 8 << 10;

/// Counts the memory for a long head in the byte budget while it arrives. The library buffers an incomplete head up to
/// several times the limit, and a caller may leave it incomplete on each of its connections.
#[derive(Debug)]
pub(super) struct HeadBuffer {
    budget: AccountBudget,
    max_bytes: usize,
    /// Bytes of the present head that have arrived.
    received: usize,
    permit: Option<Permit>,
}

impl HeadBuffer {
    /// Counts heads of at most `max_bytes`.
    pub(super) fn new(budget: AccountBudget, max_bytes: usize) -> Self {
        Self {
            budget,
            max_bytes,
            received: 0,
            permit: None,
        }
    }

    /// Counts bytes that have arrived.
    ///
    /// # Errors
    /// If they belong to a long head that does not fit into the budget.
    pub(super) fn on_received(&mut self, activity: Activity, count: usize) -> io::Result<()> {
        if !matches!(activity, Activity::ReadingHead(_) | Activity::Writing) {
            self.received = 0;
            self.permit = None;
            return Ok(());
        }
        self.received += count;
        if self.received <= FREE_BYTES || self.permit.is_some() {
            return Ok(());
        }
        let more = self.max_bytes.saturating_sub(FREE_BYTES) as u64;
        let permit = self.budget.try_take(HeldFor::Target, more);
        let permit = permit.ok_or_else(|| io::Error::from(io::ErrorKind::OutOfMemory))?;
        self.permit = Some(permit);
        Ok(())
    }
}
