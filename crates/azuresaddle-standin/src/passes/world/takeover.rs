//! Another node takes over the pool in the middle of a day.

use azuresaddle_core::prelude::*;
use azuresaddle_sched::passes::{PassPool, RunningStream};
use tokio::time::Instant;

use super::{NODE, TO_OWNER_MS, World};

impl World<'_> {
    /// The pool of a node that becomes the owner; `None` for a baseline.
    pub(super) fn new_pool(&self, now: Instant) -> Option<PassPool> {
        let options = self.policy.options()?;
        let mut pool = PassPool::new(options, self.sheet.spec.clone());
        for name in &self.names {
            pool.upsert_engine(now, name, &FailureDomain::new("d1"), false);
        }
        Some(pool)
    }

    /// Another node places from now on, by what the nodes tell it of their streams.
    pub(super) fn change_owner(&mut self, at_ms: f64) {
        let now = self.instant(at_ms);
        let Some(mut pool) = self.new_pool(now) else {
            return;
        };
        let running: Vec<RunningStream> = (0..self.streams.len())
            .filter_map(|i| self.running(now, at_ms, i))
            .collect();
        pool.sync_node(now, NODE, &running, |_| false);
        for stream in &self.streams {
            if let (Some(ask), None) = (&stream.ask, &stream.grant) {
                pool.enqueue(now, ask.clone());
            }
        }
        self.pool = Some(pool);
    }

    /// What a node tells a new owner of a stream.
    pub(super) fn running(&self, now: Instant, at_ms: f64, i: usize) -> Option<RunningStream> {
        let stream = &self.streams[i];
        let ask = stream.ask.as_ref()?;
        let (grant, first_event_at) = stream.grant.as_ref()?;
        let is_writing = stream.first_at.is_some_and(|at| at + TO_OWNER_MS <= at_ms);
        Some(RunningStream {
            id: ask.id,
            lead: grant.lead.clone(),
            helpers: grant.helpers.clone(),
            helper_memory_tokens: grant.helper_memory_tokens,
            prompt_tokens: ask.prompt_tokens,
            answer_tokens: ask.answer_tokens,
            pause: ask.pause,
            is_writing,
            first_event_in: first_event_at.saturating_duration_since(now),
        })
    }
}
