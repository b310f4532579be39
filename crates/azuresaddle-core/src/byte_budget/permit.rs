//! Bytes taken from a budget.

use super::{AccountBudget, HeldFor};

/// Bytes taken from a budget; returned when dropped.
#[derive(Debug)]
pub struct Permit {
    budget: AccountBudget,
    held_for: HeldFor,
    bytes: u64,
}

impl Permit {
    pub(super) fn new(budget: AccountBudget, held_for: HeldFor) -> Self {
        Self {
            budget,
            held_for,
            bytes: 0,
        }
    }

    /// Number of bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Takes more bytes; `false` if they do not fit into the budget.
    pub fn try_grow(&mut self, bytes: u64) -> bool {
        let fits = self.budget.try_add(self.held_for, bytes);
        if fits {
            self.bytes += bytes;
        }
        fits
    }

    /// Waits until more bytes fit into the budget, and takes them. Takes none if it is cancelled.
    pub async fn grow(&mut self, bytes: u64) {
        self.budget.add(self.held_for, bytes).await;
        self.bytes += bytes;
    }

    /// Moves at most `bytes` of its bytes to a permit of their own.
    pub fn split(&mut self, bytes: u64) -> Self {
        let moved = bytes.min(self.bytes);
        self.bytes -= moved;
        Self {
            budget: self.budget.clone(),
            held_for: self.held_for,
            bytes: moved,
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.budget.remove(self.held_for, self.bytes);
    }
}
