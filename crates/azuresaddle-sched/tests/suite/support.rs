//! Helpers shared by the tests.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::{Action, Pool, PoolOptions, ReservationRequest, TargetSpec};
use tokio::time::Instant;

pub(crate) fn pool(now: Instant, targets: usize, memory_tokens: u64) -> Pool {
    let mut pool = Pool::new(now, PoolOptions::default());
    for i in 0..targets {
        let name = engine(i);
        pool.upsert_target(
            now,
            TargetSpec {
                name,
                memory_tokens,
            },
        );
    }
    pool
}

pub(crate) fn engine(number: usize) -> HostName {
    HostName::new(format!("e{number}"))
}

pub(crate) fn stream(number: u128) -> StreamId {
    StreamId::first(RequestId(number))
}

pub(crate) fn request(number: u128, now: Instant, prompt_tokens: u64) -> ReservationRequest {
    ReservationRequest {
        stream: stream(number),
        node: HostName::new("n"),
        account: ClientAccount::new("a"),
        prompt_tokens,
        max_tokens: 100,
        prefix: Vec::new(),
        priority: 0,
        first_token_target: Duration::from_millis(350),
        deadline: now + Duration::from_secs(600),
        weight: 1.0,
        limits: Default::default(),
        exclude: Vec::new(),
    }
}

/// Dispatches and returns the decisions in short form: `1@e0,e1` for a reservation, `2!reason` for
/// a refusal.
pub(crate) fn decide(pool: &mut Pool, now: Instant) -> Vec<String> {
    pool.dispatch(now);
    let describe = |action| match action {
        Action::Reserved(grant) => {
            let mut names: Vec<_> = grant.targets.iter().map(ToString::to_string).collect();
            names.sort();
            format!("{}@{}", grant.stream.request.0, names.join(","))
        }
        Action::Refused { stream, refusal } => format!("{}!{refusal}", stream.request.0),
    };
    pool.take_actions().into_iter().map(describe).collect()
}

pub(crate) fn decided(decisions: &[String], number: u128) -> Option<&String> {
    let prefix = format!("{number}@");
    decisions.iter().find(|d| d.starts_with(&prefix))
}
