//! Common interface of the baselines and the product's pool.

use azuresaddle_core::prelude::*;
use azuresaddle_sched::{Action, Outcome, Pool, PoolOptions, ReservationRequest, TargetSpec};
use tokio::time::Instant;

use super::immediate::Immediate;
use super::mix::EngineMix;
use super::policy::Policy;

/// Makes the placement decisions of an experiment.
pub(super) enum Scheduler {
    Pool(Box<Pool>),
    Immediate(Box<Immediate>),
}

impl Scheduler {
    pub(super) fn new(now: Instant, policy: Policy, mix: EngineMix, seed: u64) -> Self {
        let names: Vec<_> = (0..mix.count).map(engine_name).collect();
        let Some(options) = policy.pool_options() else {
            return Self::Immediate(Box::new(Immediate::new(policy, mix, names, seed)));
        };
        let mut pool = Pool::new(
            now,
            PoolOptions {
                initial_prefill_rate: mix.prefill_rate,
                initial_decode_step: std::time::Duration::from_secs_f64(
                    mix.decode_step_ms / 1000.0,
                ),
                ..options
            },
        );
        for name in names {
            let memory_tokens = mix.memory_tokens;
            pool.upsert_target(
                now,
                TargetSpec {
                    name,
                    memory_tokens,
                },
            );
        }
        Self::Pool(Box::new(pool))
    }

    pub(super) fn enqueue(&mut self, now: Instant, request: ReservationRequest) {
        match self {
            Self::Pool(pool) => pool.enqueue(now, request),
            Self::Immediate(policy) => policy.enqueue(now, &request),
        }
    }

    pub(super) fn first_token(&mut self, now: Instant, stream: StreamId) {
        match self {
            Self::Pool(pool) => pool.on_first_token(now, stream),
            Self::Immediate(policy) => policy.first_token(now, stream),
        }
    }

    pub(super) fn end(&mut self, now: Instant, stream: StreamId, outcome: Outcome) {
        match self {
            Self::Pool(pool) => pool.on_end(now, stream, outcome),
            Self::Immediate(policy) => policy.end(now, stream),
        }
    }

    /// Records that an attempt failed on an engine that did not confirm its end.
    pub(super) fn on_unconfirmed_failure(&mut self, now: Instant, stream: StreamId) {
        match self {
            Self::Pool(pool) => pool.on_unconfirmed_failure(now, stream),
            Self::Immediate(policy) => policy.end(now, stream),
        }
    }

    pub(super) fn dispatch(&mut self, now: Instant) -> Vec<Action> {
        match self {
            Self::Pool(pool) => {
                pool.dispatch(now);
                pool.take_actions()
            }
            Self::Immediate(policy) => policy.take_actions(),
        }
    }

    pub(super) fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        match self {
            Self::Pool(pool) => pool.next_wakeup(now),
            Self::Immediate(_) => None,
        }
    }

    /// Memory that the pool has reserved on its targets, in tokens; 0 for baselines.
    pub(super) fn reserved(&self) -> u64 {
        match self {
            Self::Pool(pool) => {
                let names: Vec<_> = pool.target_names().cloned().collect();
                names
                    .iter()
                    .filter_map(|name| pool.reserved_tokens(name))
                    .sum()
            }
            Self::Immediate(_) => 0,
        }
    }
}

/// Name of an engine, by its index.
pub(super) fn engine_name(number: usize) -> HostName {
    HostName::new(format!("e{number}"))
}
