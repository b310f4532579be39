//! Virtual time of weighted fair queueing among client accounts.

use std::collections::HashMap;
use std::time::Duration;

use azuresaddle_core::prelude::*;

/// Start-time fair queueing: tells how far an account is ahead of its share.
///
/// An account that stays within its share is never ahead, so its requests keep the order by slack.
#[derive(Debug, Default)]
pub(crate) struct FairClock {
    now: f64,
    finish: HashMap<ClientAccount, f64>,
}

/// Position of one request in virtual time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FairTag {
    /// When its turn comes, in virtual time.
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
            ahead: Duration::from_secs_f64(start - self.now),
        }
    }

    /// When the turn of an account's next request would come, in virtual time.
    pub(crate) fn next_turn(&self, account: &ClientAccount) -> f64 {
        let finish = self.finish.get(account).copied().unwrap_or(0.0);
        finish.max(self.now)
    }

    /// Notes that a request was given its turn.
    pub(crate) fn on_dispatch(&mut self, tag: FairTag) {
        self.now = self.now.max(tag.start);
    }

    /// Forgets all debts: nobody waits, so nobody was at a disadvantage.
    pub(crate) fn on_idle(&mut self) {
        self.finish.clear();
    }
}
