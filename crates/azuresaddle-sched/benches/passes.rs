//! Cost of a placement on engines that process their work in passes.
#![allow(
    missing_docs,
    reason = "criterion generates items without documentation"
)]

use std::hint::black_box;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::passes::{
    DEFAULT_PRIORITY, PassOptions, PassPool, PlacementId, PlacementRequest, StreamOutcome,
};
use criterion::{Criterion, criterion_group, criterion_main};
use tokio::time::Instant;

#[path = "../tests/suite/passes/reference_engine.rs"]
mod reference_engine;

use reference_engine::spec;

fn request(now: Instant, number: u64, prompt_tokens: u64) -> PlacementRequest {
    PlacementRequest {
        id: PlacementId { node: 1, number },
        account: ClientAccount::new(format!("account-{}", number % 200)),
        domain: FailureDomain::new("d1"),
        prompt_tokens,
        answer_tokens: 800,
        first_event_by: now + Duration::from_secs(300),
        pause: Duration::from_millis(200),
        give_up_at: now + Duration::from_secs(86_400),
        deadline: now + Duration::from_secs(86_400),
        exclude: Vec::new(),
        suspect: None,
        priority: DEFAULT_PRIORITY,
    }
}

/// Arrival, placement, first event and end of a short prompt while long ones wait.
fn place_short_prompt(c: &mut Criterion) {
    for engines in [18, 256] {
        for waiting in [100, 10_000] {
            let now = Instant::now();
            let options = PassOptions {
                refuse_early: false,
                ..PassOptions::default()
            };
            let mut pool = PassPool::new(options, spec());
            for n in 0..engines {
                let name = HostName::new(format!("e{n}"));
                pool.upsert_engine(now, &name, &FailureDomain::new("d1"), false);
            }
            // Far too long to start, so all of them stay queued.
            for n in 0..waiting {
                pool.enqueue(now, request(now, 1_000_000 + n, 4_000_000));
            }
            pool.dispatch(now);
            pool.take_decisions();
            let mut number = 0;
            c.bench_function(&format!("{engines} engines, {waiting} waiting"), |b| {
                b.iter(|| {
                    number += 1;
                    let id = PlacementId { node: 1, number };
                    pool.enqueue(now, request(now, number, 3000));
                    pool.dispatch(now);
                    black_box(pool.take_decisions());
                    pool.on_first_event(now, id);
                    pool.end(now, id, &StreamOutcome::Done);
                });
            });
        }
    }
}

/// A dispatch in which every engine is full and short prompts wait.
fn dispatch_to_full_engines(c: &mut Criterion) {
    for (engines, waiting) in [(18, 20), (150, 100)] {
        let now = Instant::now();
        let mut pool = PassPool::new(PassOptions::default(), spec());
        for n in 0..engines {
            let name = HostName::new(format!("e{n}"));
            pool.upsert_engine(now, &name, &FailureDomain::new("d1"), false);
        }
        // Far more than there are slots; the last ones stay queued.
        for n in 0..engines * 20 + waiting {
            let mut request = request(now, n, 3000);
            request.first_event_by = now + Duration::from_millis(300);
            pool.enqueue(now, request);
            pool.dispatch(now);
        }
        pool.take_decisions();
        let left = pool.waiting();
        c.bench_function(&format!("{engines} engines, {left} find no room"), |b| {
            b.iter(|| {
                pool.dispatch(now);
                black_box(pool.waiting());
            });
        });
    }
}

criterion_group!(benches, place_short_prompt, dispatch_to_full_engines);
criterion_main!(benches);
