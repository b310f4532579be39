//! Virtual time of weighted fair queueing among client accounts.

use std::collections::HashMap;
use std::time::Duration;

use azuresaddle_core::bounded_time::saturating_seconds;
use azuresaddle_core::prelude::*;

/// Virtual clock of start-time fair queueing; tracks how far each account is ahead of its share.
///
/// An account that stays within its share is never ahead, so its requests stay ordered by slack.
#[derive(Debug, Default)]
pub(crate) struct FairClock {
    now: f64,
    finish: HashMap<ClientAccount, f64>,
}

/// Start tag of one request in virtual time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FairTag {
    /// Virtual start time.
    pub(crate) start: f64,
    /// How far the account is ahead of its share.
    pub(crate) ahead: Duration,
}

impl FairClock {
    /// Tags a request of `cost` seconds of the pool's work.
    pub(crate) fn tag(&mut self, account: &ClientAccount, cost: f64, weight: f64) -> FairTag {
        let finish = self.finish.entry(account.clone()).or_insert(0.0);
        let start = finish.max(self.now);
        *finish = start + cost / weight;
        FairTag {
            start,
            ahead: saturating_seconds(start - self.now),
        }
    }

    /// Virtual start time that the account's next request would get.
    pub(crate) fn next_turn(&self, account: &ClientAccount) -> f64 {
        let finish = self.finish.get(account).copied().unwrap_or(0.0);
        finish.max(self.now)
    }

    /// Whether another account than `account` had a request since the queue was last empty.
    pub(crate) fn has_other(&self, account: &ClientAccount) -> bool {
        self.finish.keys().any(|other| other != account)
    }

    /// Advances virtual time to the start of a dispatched request.
    pub(crate) fn on_dispatch(&mut self, tag: FairTag) {
        self.now = self.now.max(tag.start);
    }

    /// Resets all accounts when the queue is empty: without waiting requests no account is at a
    /// disadvantage.
    pub(crate) fn on_idle(&mut self) {
        self.finish.clear();
    }
}
