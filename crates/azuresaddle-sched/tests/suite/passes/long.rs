//! Long prompts.

use std::time::Duration;

use azuresaddle_sched::passes::{PassOptions, PlacementDecision};
use tokio::time::Instant;

use super::*;

#[tokio::test(start_paused = true)]
async fn a_long_prompt_is_split_over_engines_without_short_streams() {
    let now = Instant::now();
    let mut pool = pool(now, 9);
    let short = start(&mut pool, now, 1, 3000).unwrap();
    pool.on_first_event(now + Duration::from_millis(60), id(1));
    let at = now + Duration::from_millis(100);
    let grant = start(&mut pool, at, 2, 210_000).unwrap();
    assert_ne!(grant.lead, short.lead);
    assert!(!grant.helpers.contains(&short.lead));
    assert!(grant.helpers.len() >= 5, "{} helpers", grant.helpers.len());
    // 2,842 ms over eight engines.
    assert!(
        grant.first_event_in < Duration::from_millis(450),
        "{:?}",
        grant.first_event_in
    );
}

#[tokio::test(start_paused = true)]
async fn a_long_prompt_waits_for_more_engines_while_that_keeps_it_on_time() {
    let now = Instant::now();
    let mut pool = pool(now, 8);
    // Seven engines prefill for 400 ms.
    for n in 0..7 {
        let busy = start(&mut pool, now, n, 110_000);
        assert!(busy.is_some() || n > 0);
    }
    pool.enqueue(now, request(now, 50, 280_000));
    let at_once = dispatch(&mut pool, now);
    let long = at_once.iter().find(|(n, _)| *n == 50);
    assert!(long.is_none_or(|(_, g)| g.first_event_in < Duration::from_secs(3)));
}

#[tokio::test(start_paused = true)]
async fn a_request_that_cannot_meet_its_deadline_is_refused() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    let mut late = request(now, 1, 300_000);
    // The prefill takes 5,300 ms on the only engine.
    late.deadline = now + Duration::from_millis(4000);
    assert_refused(&mut pool, now, late);
}

#[tokio::test(start_paused = true)]
async fn a_prompt_too_large_for_one_engine_reserves_memory_on_several() {
    let now = Instant::now();
    let mut pool = pool(now, 6);
    let grant = start(&mut pool, now, 1, 600_000).unwrap();
    assert!(grant.helper_memory_tokens > 0);
    let lent = grant.helper_memory_tokens * grant.helpers.len() as u64;
    assert!(600_800 - lent <= 450_000);
}

#[tokio::test(start_paused = true)]
async fn a_prompt_too_large_for_all_engines_is_refused_at_once() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    let mut huge = request(now, 1, 900_000);
    huge.give_up_at = now + Duration::from_secs(120);
    huge.deadline = now + Duration::from_secs(120);
    assert_refused(&mut pool, now, huge);
}

#[tokio::test(start_paused = true)]
async fn short_streams_are_delayed_to_keep_a_long_prompt_on_time() {
    let now = Instant::now();
    let both = [true, false].map(|break_pauses| {
        let options = PassOptions {
            break_pauses,
            ..PassOptions::default()
        };
        // Enough engines that no part is long enough to stall a stream.
        let mut pool = pool_with(now, 6, options);
        // One short stream remains on each engine.
        for n in 0..6 {
            pool.sync_node(now, 10 + n, &[running_stream(10 + n, n as usize)], |_| {
                false
            });
        }
        pool.enqueue(now, request(now, 90, 210_000));
        let mut granted = None;
        for step in 0..60 {
            let at = now + Duration::from_millis(20 * step);
            let all = dispatch(&mut pool, at);
            granted = granted.or(all.into_iter().find(|(n, _)| *n == 90));
        }
        granted.is_some()
    });
    assert_eq!(both, [true, false]);
}

/// Parts that share a pass are prefilled together, and none completes before its end.
#[tokio::test(start_paused = true)]
async fn no_part_is_placed_on_an_engine_that_is_prefilling() {
    let now = Instant::now();
    let mut pool = pool(now, 6);
    let first = start(&mut pool, now, 1, 250_000).unwrap();
    let mut busy = vec![first.lead];
    busy.extend(first.helpers);
    let soon = now + Duration::from_millis(2);
    if let Some(second) = start(&mut pool, soon, 2, 300_000) {
        assert!(!busy.contains(&second.lead));
        assert!(second.helpers.iter().all(|h| !busy.contains(h)));
    }
}

/// Decoding the answer to a medium-length prompt alone takes four times the engine time that its
/// prefill takes.
#[tokio::test(start_paused = true)]
async fn long_prompts_are_decoded_beside_short_streams() {
    let now = Instant::now();
    let mut pool = pool(now, 8);
    let short = start(&mut pool, now, 1, 3000).unwrap();
    pool.on_first_event(now + Duration::from_millis(60), id(1));
    for n in 2..6 {
        let at = now + Duration::from_millis(400 * n);
        let long = start(&mut pool, at, n, 45_000).unwrap();
        assert_eq!(long.lead, short.lead);
        pool.on_first_event(at + Duration::from_millis(150), id(n));
    }
}

/// When prompts with a shorter prefill need all engines, a very long prompt is refused at once.
#[tokio::test(start_paused = true)]
async fn a_prompt_without_capacity_under_recent_load_is_refused_at_once() {
    let start = Instant::now();
    let mut pool = pool(start, 4);
    let mut now = start;
    for n in 0..40 {
        now += Duration::from_millis(100);
        // 1.4 s of prefill ten times a second, on four engines.
        pool.enqueue(now, request(now, n, 140_000));
        dispatch(&mut pool, now);
    }
    let mut long = request(now, 99, 400_000);
    long.give_up_at = now + Duration::from_secs(12);
    pool.enqueue(now, long);
    pool.dispatch(now);
    let decisions = pool.take_decisions();
    let refused = decisions.iter().find_map(|(id, d)| match d {
        PlacementDecision::Refused { retry_after } if id.number == 99 => Some(*retry_after),
        _ => None,
    });
    assert!(
        refused.is_some_and(|wait| wait > Duration::from_secs(1)),
        "{decisions:?}"
    );
}

/// Streams that are late already still limit a pass: a node takes a long silence for a dead engine.
#[tokio::test(start_paused = true)]
async fn late_streams_are_not_stalled() {
    let now = Instant::now();
    let mut pool = pool(now, 3);
    for n in 0..3 {
        pool.sync_node(now, 10 + n, &[running_stream(10 + n, n as usize)], |_| {
            false
        });
    }
    for step in 0..200 {
        let at = now + Duration::from_millis(20 * step);
        pool.enqueue(at, request(at, step, 210_000));
        for (_, grant) in dispatch(&mut pool, at) {
            let part = 2937.0 / (grant.helpers.len() + 1) as f64;
            assert!(part < 700.0, "a part of {part} ms");
        }
    }
}

/// Two engines would prefill a prompt of 531,000 tokens for 7.6 s, and the reserved memory would be
/// unused.
#[tokio::test(start_paused = true)]
async fn memory_is_not_reserved_for_a_prefill_of_many_seconds() {
    let now = Instant::now();
    let mut few = pool(now, 2);
    assert_eq!(start(&mut few, now, 1, 531_000), None);
    let mut more = pool(now, 6);
    let grant = start(&mut more, now, 1, 531_000).unwrap();
    assert!(grant.helper_memory_tokens > 0);
    assert!(grant.first_event_in < Duration::from_secs(7));
}
