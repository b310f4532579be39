//! Cost of a scheduling step: one request arrives, one running request ends and the pool
//! dispatches.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::{Action, Outcome, Pool, PoolOptions, ReservationRequest, TargetSpec};
use criterion::{BenchmarkId, Criterion, criterion_main};
use tokio::time::Instant;

fn request(number: u128, now: Instant) -> ReservationRequest {
    ReservationRequest {
        stream: StreamId::first(RequestId(number)),
        node: HostName::new("n"),
        account: ClientAccount::new(["a", "b", "c", "d"][number as usize % 4]),
        // One request in fifty is long.
        prompt_tokens: if number.is_multiple_of(50) {
            150_000
        } else {
            2_000
        },
        max_tokens: 512,
        prefix: Vec::new(),
        priority: 0,
        first_token_target: Duration::from_millis(350),
        deadline: now + Duration::from_secs(36_000),
        weight: 1.0,
        limits: Default::default(),
        exclude: Vec::new(),
    }
}

/// Returns a pool whose targets are all busy and whose queue holds about `waiting` requests.
fn full_pool(now: Instant, targets: usize, waiting: u128) -> (Pool, Vec<StreamId>, u128) {
    let mut pool = Pool::new(now, PoolOptions::default());
    for i in 0..targets {
        let name = HostName::new(format!("e{i}"));
        pool.upsert_target(
            now,
            TargetSpec {
                name,
                memory_tokens: 400_000,
            },
        );
    }
    let total = targets as u128 + waiting;
    for number in 0..total {
        pool.enqueue(now, request(number, now));
    }
    pool.dispatch(now);
    let running = reserved(&mut pool);
    (pool, running, total)
}

fn reserved(pool: &mut Pool) -> Vec<StreamId> {
    let actions = pool.take_actions().into_iter();
    let grants = actions.filter_map(|action| match action {
        Action::Reserved(grant) => Some(grant.stream),
        Action::Refused { .. } => None,
    });
    grants.collect()
}

fn decide(c: &mut Criterion) {
    let mut group = c.benchmark_group("decide");
    for targets in [32, 256] {
        for waiting in [100, 10_000] {
            let now = Instant::now();
            let (mut pool, mut running, mut next) = full_pool(now, targets, waiting);
            let id = BenchmarkId::from_parameter(format!("{targets} targets, {waiting} waiting"));
            group.bench_function(id, |b| {
                b.iter(|| {
                    next += 1;
                    pool.enqueue(now, request(next, now));
                    if let Some(stream) = running.pop() {
                        pool.on_first_token(now, stream);
                        pool.on_end(now, stream, Outcome::Done { tokens: 400 });
                    }
                    pool.dispatch(now);
                    running.extend(reserved(&mut pool));
                });
            });
        }
    }
    group.finish();
}

#[allow(missing_docs, reason = "the macro makes an undocumented function")]
mod group {
    use super::decide;
    criterion::criterion_group!(benches, decide);
}

criterion_main!(group::benches);
