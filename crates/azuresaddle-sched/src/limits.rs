//! Limits of client accounts.

use std::collections::HashMap;
use std::time::Duration;

use azuresaddle_core::bounded_time::saturating_seconds;
use azuresaddle_core::prelude::*;
use azuresaddle_core::rules::AccountLimits;
use tokio::time::Instant;

use crate::action::{Refusal, RefusalReason};

/// Window over which the token rate is limited, in seconds.
const RATE_WINDOW_SECONDS: f64 = 10.0;

/// Retry delay after the limit of requests in flight was reached.
const IN_FLIGHT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Usage of each client account in a pool.
#[derive(Debug, Default)]
pub(crate) struct AccountUsage {
    accounts: HashMap<ClientAccount, Usage>,
}

#[derive(Debug)]
struct Usage {
    in_flight: u32,
    /// Leaky-bucket level: admitted prompt tokens, drained at the limit's rate.
    level: f64,
    updated: Instant,
}

impl AccountUsage {
    /// Counts a request, or refuses it if a limit is reached.
    pub(crate) fn admit(
        &mut self,
        now: Instant,
        account: &ClientAccount,
        tokens: u64,
        limits: &AccountLimits,
    ) -> Result<(), Refusal> {
        let usage = self.accounts.entry(account.clone()).or_insert(Usage {
            in_flight: 0,
            level: 0.0,
            updated: now,
        });
        if limits
            .max_in_flight
            .is_some_and(|max| usage.in_flight >= max)
        {
            return Err(Refusal {
                reason: RefusalReason::InFlightLimit,
                retry_after: Some(IN_FLIGHT_RETRY_AFTER),
            });
        }
        if let Some(rate) = limits.max_tokens_per_second {
            usage.admit_tokens(now, tokens, rate)?;
        }
        usage.in_flight += 1;
        Ok(())
    }

    /// Counts a request that a previous owner admitted, without checking limits.
    pub(crate) fn adopt(&mut self, now: Instant, account: &ClientAccount) {
        let unlimited = AccountLimits::default();
        let admitted = self.admit(now, account, 0, &unlimited);
        debug_assert!(admitted.is_ok(), "no limit applies");
    }

    /// Records the end of a request.
    pub(crate) fn release(&mut self, account: &ClientAccount) {
        if let Some(usage) = self.accounts.get_mut(account) {
            usage.in_flight = usage.in_flight.saturating_sub(1);
        }
    }
}

impl Usage {
    fn admit_tokens(&mut self, now: Instant, tokens: u64, rate: f64) -> Result<(), Refusal> {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.level = (self.level - elapsed * rate).max(0.0);
        self.updated = now;
        let room = rate * RATE_WINDOW_SECONDS;
        // A prompt larger than the whole window passes at level zero; otherwise it could never
        // pass.
        if self.level > 0.0 && self.level + tokens as f64 > room {
            let excess = (self.level + tokens as f64 - room).min(self.level);
            return Err(Refusal {
                reason: RefusalReason::TokenRateLimit,
                retry_after: Some(saturating_seconds(excess / rate)),
            });
        }
        self.level += tokens as f64;
        Ok(())
    }
}
