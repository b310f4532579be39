//! An admitted request for an answer.

use azuresaddle_core::bounded_time::{MAX_DURATION, saturating_seconds};
use azuresaddle_core::prelude::*;
use azuresaddle_core::prompt::prompt_tokens;
use azuresaddle_core::rules::Then;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

use crate::peer::ReserveRequest;

/// What it takes to run an admitted request and relay its answer.
pub(super) struct Job {
    pub(super) request: RequestId,
    pub(super) account: ClientAccount,
    pub(super) model: Model,
    pub(super) prompt: String,
    /// Hashes of the prompt's leading blocks, for prefix cache lookups.
    pub(super) prefix: Vec<u64>,
    pub(super) max_tokens: u64,
    pub(super) idempotent: bool,
    /// Name of the matching rule; empty if none matched.
    pub(super) rule: String,
    pub(super) then: Then,
    pub(super) arrived: Instant,
    pub(super) deadline: Instant,
    /// Memory reserved for the body; released when the job is dropped.
    pub(super) _body_permit: OwnedSemaphorePermit,
}

impl Job {
    pub(super) fn prompt_tokens(&self) -> u64 {
        prompt_tokens(&self.prompt)
    }

    /// The rule's target for the time from arrival to the first token.
    pub(super) fn first_token_target(&self) -> Duration {
        Duration::from_millis(self.then.first_token_target_ms).min(MAX_DURATION)
    }

    /// Maximum time to the first token that meets the target: the rule's target plus the prefill
    /// time on an idle engine at `rate` tokens per second.
    pub(super) fn first_token_limit(&self, rate: f64) -> Duration {
        self.first_token_target() + saturating_seconds(self.prompt_tokens() as f64 / rate)
    }

    pub(super) fn reserve_request(
        &self,
        pool: &PoolId,
        stream: StreamId,
        node: &HostName,
        exclude: &[HostName],
    ) -> ReserveRequest {
        ReserveRequest {
            pool: pool.clone(),
            stream,
            node: node.clone(),
            account: self.account.clone(),
            prompt_tokens: self.prompt_tokens(),
            max_tokens: self.max_tokens,
            prefix: self.prefix.clone(),
            priority: self.then.priority,
            first_token_target: self.first_token_target(),
            time_left: self.deadline.saturating_duration_since(Instant::now()),
            weight: self.then.weight,
            max_in_flight: self.then.limits.max_in_flight,
            max_tokens_per_second: self.then.limits.max_tokens_per_second,
            exclude: exclude.to_vec(),
        }
    }
}
