//! A request for a reservation in a pool.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_core::rules::AccountLimits;
use tokio::time::Instant;

/// A request for memory and a prefill slot in a pool.
#[derive(Clone, Debug)]
pub struct ReservationRequest {
    /// The attempt that will run.
    pub stream: StreamId,
    /// The node that will relay the answer.
    pub node: HostName,
    /// The client account that sent the request.
    pub account: ClientAccount,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Maximum length of the answer, in tokens.
    pub max_tokens: u64,
    /// Chained hashes of the prompt's leading blocks, for prefix cache lookups.
    pub prefix: Vec<u64>,
    /// Priority, from -8 (lowest) to 8 (highest).
    pub priority: i8,
    /// Target for the time from arrival to first token, not counting the prefill itself.
    pub first_token_target: Duration,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
    /// Weight of the account in fair queueing.
    pub weight: f64,
    /// Limits of the account.
    pub limits: AccountLimits,
    /// Targets to avoid because an earlier attempt failed there.
    pub exclude: Vec<HostName>,
}

impl ReservationRequest {
    /// Most memory that the request can use, in tokens: prompt and longest answer.
    pub fn memory_tokens(&self) -> u64 {
        self.prompt_tokens + self.max_tokens
    }
}
