//! Short prompts.

use std::time::Duration;

use azuresaddle_sched::passes::{PassOptions, StreamOutcome};
use tokio::time::Instant;

use super::*;

#[tokio::test(start_paused = true)]
async fn short_streams_are_packed_and_the_rest_stays_free() {
    let now = Instant::now();
    let mut pool = pool(now, 8);
    let mut used = std::collections::HashSet::new();
    for n in 0..16 {
        let at = now + Duration::from_millis(60 * n);
        let grant = start(&mut pool, at, n, 3000).expect("an engine is free");
        pool.on_first_event(at + Duration::from_millis(50), id(n));
        used.insert(grant.lead);
    }
    assert!(
        used.len() <= 2,
        "16 short streams used {} engines",
        used.len()
    );
}

#[tokio::test(start_paused = true)]
async fn short_streams_are_spread_without_packing() {
    let now = Instant::now();
    let options = PassOptions {
        pack_short: false,
        ..PassOptions::default()
    };
    let mut pool = pool_with(now, 8, options);
    let mut used = std::collections::HashSet::new();
    for n in 0..16 {
        let at = now + Duration::from_millis(60 * n);
        let grant = start(&mut pool, at, n, 3000).expect("an engine is free");
        pool.on_first_event(at + Duration::from_millis(50), id(n));
        used.insert(grant.lead);
    }
    assert!(
        used.len() > 4,
        "16 short streams used {} engines",
        used.len()
    );
}

#[tokio::test(start_paused = true)]
async fn a_failing_engine_receives_no_streams_for_a_while() {
    let now = Instant::now();
    let mut pool = pool(now, 2);
    let first = start(&mut pool, now, 1, 3000).unwrap();
    pool.end(now, id(1), &StreamOutcome::TargetFailed(first.lead.clone()));
    let second = start(&mut pool, now, 2, 3000).unwrap();
    pool.end(
        now,
        id(2),
        &StreamOutcome::TargetFailed(second.lead.clone()),
    );
    let failed = if second.lead == first.lead {
        first.lead
    } else {
        let third = start(&mut pool, now, 3, 3000).unwrap();
        pool.end(now, id(3), &StreamOutcome::TargetFailed(third.lead.clone()));
        third.lead
    };
    for n in 10..14 {
        let grant = start(&mut pool, now, n, 3000).unwrap();
        assert_ne!(grant.lead, failed);
    }
}
