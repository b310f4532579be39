//! An admitted request for an answer.

use azuresaddle_core::prelude::*;
use azuresaddle_core::prompt::prompt_tokens;
use azuresaddle_core::rules::Then;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

use crate::peer::ReserveRequest;

/// Everything that the relay of an answer needs to know.
pub(super) struct Job {
    pub(super) request: RequestId,
    pub(super) account: ClientAccount,
    pub(super) model: Model,
    pub(super) prompt: String,
    pub(super) prefix: Vec<u64>,
    pub(super) max_tokens: u64,
    pub(super) idempotent: bool,
    pub(super) rule: String,
    pub(super) then: Then,
    pub(super) arrived: Instant,
    pub(super) deadline: Instant,
    /// Room for the prompt, given back with the job.
    pub(super) _body_permit: OwnedSemaphorePermit,
}

impl Job {
    pub(super) fn prompt_tokens(&self) -> u64 {
        prompt_tokens(&self.prompt)
    }

    /// First-token target, counted from the arrival.
    pub(super) fn first_token_target(&self) -> Duration {
        Duration::from_millis(self.then.first_token_target_ms)
    }

    /// Time to the first token within which the target is met: the rule's, and the prefill on an
    /// idle engine at `rate` tokens a second.
    pub(super) fn first_token_limit(&self, rate: f64) -> Duration {
        self.first_token_target() + Duration::from_secs_f64(self.prompt_tokens() as f64 / rate)
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
