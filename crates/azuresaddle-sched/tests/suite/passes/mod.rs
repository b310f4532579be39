//! Placement of streams on engines that process their work in passes.

mod account_shares;
mod admission;
mod crowd;
mod engine_restart;
mod forecast;
mod long;
mod odd_numbers;
mod pace_probes;
mod rate_limits;
mod reference_engine;
mod short;
mod streams;
mod suspects;

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::passes::{
    DEFAULT_PRIORITY, PassOptions, PassPool, PlacementDecision, PlacementGrant, PlacementId,
    PlacementRequest, RunningStream, StreamOutcome,
};
use tokio::time::Instant;

use self::reference_engine::spec;

fn name(n: usize) -> HostName {
    HostName::new(format!("e{n:02}"))
}

fn pool_with(now: Instant, engines: usize, options: PassOptions) -> PassPool {
    let mut pool = PassPool::new(options, spec());
    for n in 0..engines {
        pool.upsert_engine(now, &name(n), &FailureDomain::new("d1"), false);
    }
    pool
}

fn pool(now: Instant, engines: usize) -> PassPool {
    pool_with(now, engines, PassOptions::default())
}

fn id(number: u64) -> PlacementId {
    PlacementId { node: 1, number }
}

fn request(now: Instant, number: u64, prompt_tokens: u64) -> PlacementRequest {
    let (first, pause) = match prompt_tokens {
        0..30_000 => (300, 200),
        30_000..110_000 => (1500, 500),
        _ => (3000, 800),
    };
    PlacementRequest {
        id: id(number),
        account: ClientAccount::new("a"),
        domain: FailureDomain::new("d1"),
        prompt_tokens,
        answer_tokens: 800,
        first_event_by: now + Duration::from_millis(first),
        pause: Duration::from_millis(pause),
        give_up_at: now + Duration::from_secs(12),
        deadline: now + Duration::from_secs(15),
        exclude: Vec::new(),
        suspect: None,
        priority: DEFAULT_PRIORITY,
    }
}

/// Dispatches and returns the grants with the numbers of their requests.
fn dispatch(pool: &mut PassPool, now: Instant) -> Vec<(u64, PlacementGrant)> {
    pool.dispatch(now);
    let granted = |(id, decision): (PlacementId, PlacementDecision)| match decision {
        PlacementDecision::Granted(grant) => Some((id.number, grant)),
        PlacementDecision::Refused { .. } => None,
    };
    pool.take_decisions()
        .into_iter()
        .filter_map(granted)
        .collect()
}

fn start(pool: &mut PassPool, now: Instant, number: u64, tokens: u64) -> Option<PlacementGrant> {
    pool.enqueue(now, request(now, number, tokens));
    let all = dispatch(pool, now);
    all.into_iter().find(|(n, _)| *n == number).map(|(_, g)| g)
}

fn assert_refused(pool: &mut PassPool, now: Instant, request: PlacementRequest) {
    pool.enqueue(now, request);
    pool.dispatch(now);
    let decisions = pool.take_decisions();
    assert!(
        matches!(decisions[..], [(_, PlacementDecision::Refused { .. })]),
        "{decisions:?}"
    );
}

fn running_stream(node: u64, engine: usize) -> RunningStream {
    RunningStream {
        id: PlacementId { node, number: 1 },
        lead: name(engine),
        helpers: Vec::new(),
        helper_memory_tokens: 0,
        prompt_tokens: 3000,
        answer_tokens: 800,
        pause: Duration::from_millis(200),
        is_decoding: true,
        first_event_in: Duration::ZERO,
        suspect: None,
    }
}
