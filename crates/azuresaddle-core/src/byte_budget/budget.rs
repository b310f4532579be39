//! The bytes that a node may buffer, and those that it does.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

use super::{AccountBudget, HeldFor};
use crate::names::ClientAccount;

/// The budget is the memory limit divided by this. The rest is for the program and for the buffers that each open
/// connection has whether or not its peer reads.
const MEMORY_DIVISOR: u64 = 3;

/// The budget divided by this is the most that one client account may hold, so that it leaves room for the others.
const ACCOUNT_DIVISOR: u64 = 2;

/// Bodies of requests may take three quarters of the budget. The rest remains for the answers to requests that already
/// run, which would otherwise wait for requests that have not begun.
const TARGET_SHARE: (u64, u64) = (3, 4);

/// Bytes that a node may buffer for callers and targets; cheap to clone.
#[derive(Clone, Debug)]
pub struct ByteBudget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    total: u64,
    held: Mutex<Held>,
    returned: Notify,
    /// Notified when the budget has no room for bytes of a request.
    refused: Notify,
}

/// Bytes that are buffered now.
#[derive(Debug, Default)]
struct Held {
    caller: u64,
    target: u64,
    accounts: HashMap<ClientAccount, u64>,
}

impl ByteBudget {
    /// A budget of `total` bytes.
    pub fn new(total: u64) -> Self {
        Self(Arc::new(Shared {
            total,
            held: Mutex::default(),
            returned: Notify::new(),
            refused: Notify::new(),
        }))
    }

    /// The budget of a process with a memory limit in megabytes; unlimited if the limit is 0.
    pub fn of_memory(memory_mb: u64) -> Self {
        Self::new(match memory_mb {
            0 => u64::MAX,
            mb => mb.saturating_mul(1_000_000) / MEMORY_DIVISOR,
        })
    }

    /// The part of the budget that a client account may use.
    pub fn account(&self, account: &ClientAccount) -> AccountBudget {
        AccountBudget::new(self.clone(), account.clone())
    }

    /// Size of the budget, in bytes.
    pub fn total(&self) -> u64 {
        self.0.total
    }

    /// Bytes that are buffered now.
    pub fn held(&self, held_for: HeldFor) -> u64 {
        let held = self.lock();
        match held_for {
            HeldFor::Caller => held.caller,
            HeldFor::Target => held.target,
        }
    }

    /// Takes bytes from the budget; `false` if they do not fit.
    pub(super) fn try_add(&self, account: &ClientAccount, held_for: HeldFor, bytes: u64) -> bool {
        let total = self.0.total;
        let mut held = self.lock();
        let of_account = held.accounts.get(account).copied().unwrap_or(0);
        let all = held.caller + held.target;
        let (part, of) = TARGET_SHARE;
        let fits = bytes <= total.saturating_sub(all)
            && bytes <= (total / ACCOUNT_DIVISOR).saturating_sub(of_account)
            && (held_for == HeldFor::Caller
                || bytes <= (total / of * part).saturating_sub(held.target));
        if fits && bytes > 0 {
            *held.of_mut(held_for) += bytes;
            held.accounts.insert(account.clone(), of_account + bytes);
        }
        drop(held);
        if !fits && held_for == HeldFor::Target {
            self.0.refused.notify_waiters();
        }
        fits
    }

    /// Waits until the budget next has no room for bytes of a request. Refusals before this call don't count.
    pub async fn until_refused(&self) {
        self.0.refused.notified().await;
    }

    /// Returns bytes to the budget.
    pub(super) fn remove(&self, account: &ClientAccount, held_for: HeldFor, bytes: u64) {
        if bytes == 0 {
            return;
        }
        let mut held = self.lock();
        *held.of_mut(held_for) -= bytes;
        if let Some(of_account) = held.accounts.get_mut(account) {
            *of_account -= bytes;
            if *of_account == 0 {
                held.accounts.remove(account);
            }
        }
        drop(held);
        self.0.returned.notify_waiters();
    }

    /// Notifies of bytes that are returned.
    pub(super) fn returned(&self) -> &Notify {
        &self.0.returned
    }

    fn lock(&self) -> MutexGuard<'_, Held> {
        self.0.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Held {
    fn of_mut(&mut self, held_for: HeldFor) -> &mut u64 {
        match held_for {
            HeldFor::Caller => &mut self.caller,
            HeldFor::Target => &mut self.target,
        }
    }
}
