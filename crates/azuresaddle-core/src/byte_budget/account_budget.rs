//! The part of a node's budget that one client account may use.

use super::{ByteBudget, HeldFor, Permit};
use crate::names::ClientAccount;

/// The part of a node's budget that one client account may use; cheap to clone.
#[derive(Clone, Debug)]
pub struct AccountBudget {
    budget: ByteBudget,
    account: ClientAccount,
}

impl AccountBudget {
    pub(super) fn new(budget: ByteBudget, account: ClientAccount) -> Self {
        Self { budget, account }
    }

    /// Takes bytes; `None` if they do not fit into the budget.
    pub fn try_take(&self, held_for: HeldFor, bytes: u64) -> Option<Permit> {
        let mut permit = self.empty(held_for);
        permit.try_grow(bytes).then_some(permit)
    }

    /// A permit for no bytes, to be extended later.
    pub fn empty(&self, held_for: HeldFor) -> Permit {
        Permit::new(self.clone(), held_for)
    }

    pub(super) fn try_add(&self, held_for: HeldFor, bytes: u64) -> bool {
        self.budget.try_add(&self.account, held_for, bytes)
    }

    pub(super) fn remove(&self, held_for: HeldFor, bytes: u64) {
        self.budget.remove(&self.account, held_for, bytes);
    }

    /// Waits until bytes fit into the budget, and takes them.
    pub(super) async fn add(&self, held_for: HeldFor, bytes: u64) {
        loop {
            let mut returned = std::pin::pin!(self.budget.returned().notified());
            // Registers before the check, so that bytes returned in between are not missed.
            returned.as_mut().enable();
            if self.try_add(held_for, bytes) {
                return;
            }
            returned.await;
        }
    }
}
