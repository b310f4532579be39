//! Starts an attempt of a job on its reserved targets.

use azuresaddle_core::prelude::*;
use futures::future::try_join_all;

use super::job::Job;
use super::reserve::Placement;
use super::state::Traffic;
use crate::engine::wire::{FencingToken, LendRequest, StartRequest};
use crate::engine::{EngineError, EngineStream};

impl<N: Network> Traffic<N> {
    /// Reserves memory on the other targets of the placement, then starts the stream on the lead target.
    ///
    /// `prior` holds the tokens that the caller already has from earlier attempts.
    pub(super) async fn start_stream(
        &self,
        job: &Job,
        placement: &Placement,
        prior: &[String],
    ) -> Result<EngineStream, EngineError> {
        let Some(((_, lead), others)) = placement.targets.split_first() else {
            return Err(EngineError::Refused("no target was reserved".to_owned()));
        };
        let fence = FencingToken {
            pool: placement.pool.to_string(),
            epoch: placement.epoch,
        };
        let lend = LendRequest {
            stream: placement.stream,
            node: self.settings.name.clone(),
            account: job.account.clone(),
            memory_tokens: placement.memory_tokens,
            fence: fence.clone(),
        };
        let lends = others
            .iter()
            .map(|(_, addr)| self.engines.lend(*addr, &lend));
        // Reserving memory does not start the request, so after a failure here it has not run.
        try_join_all(lends)
            .await
            .map_err(|e| EngineError::Refused(e.to_string()))?;
        let start = StartRequest {
            stream: placement.stream,
            node: self.settings.name.clone(),
            account: job.account.clone(),
            prompt: job.prompt.clone(),
            prior: prior.to_vec(),
            max_tokens: job.max_tokens,
            priority: job.then.priority,
            memory_tokens: placement.memory_tokens,
            members: placement.targets.len() as u32,
            fence,
        };
        self.engines.start(*lead, &start).await
    }
}
