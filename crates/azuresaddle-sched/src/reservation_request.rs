//! A request as the pool sees it.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_core::rules::AccountLimits;
use tokio::time::Instant;

/// Asks a pool for a reservation.
#[derive(Clone, Debug)]
pub struct ReservationRequest {
    /// The attempt that will run.
    pub stream: StreamId,
    /// The node that will relay the answer.
    pub node: HostName,
    /// Who asks.
    pub account: ClientAccount,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub max_tokens: u64,
    /// Chained hashes of the prompt's leading blocks.
    pub prefix: Vec<u64>,
    /// From -8 (last) to 8 (first).
    pub priority: i8,
    /// When the first token is wanted after the arrival, beyond the prefill itself.
    pub first_token_target: Duration,
    /// When the request must have ended.
    pub deadline: Instant,
    /// Share of the account in contention.
    pub weight: f64,
    /// Limits of the account.
    pub limits: AccountLimits,
    /// Targets that must not be used, since an earlier attempt failed there.
    pub exclude: Vec<HostName>,
}

impl ReservationRequest {
    /// Memory that the request may come to hold, in tokens.
    pub fn memory_tokens(&self) -> u64 {
        self.prompt_tokens + self.max_tokens
    }
}
