//! Rate limits of engines.

use azuresaddle_core::deployment::RateLimit;

use super::*;
use crate::rate_bucket::max_in_any_span;

fn limit(rate: f64) -> RateLimit {
    RateLimit::per_second(rate).unwrap()
}

/// Sends a prompt every 20 ms, one in 25 of them long. Returns when each engine received a stream,
/// as the lead or as a helper.
fn run_load(pool: &mut PassPool, from: Instant, length: Duration) -> Vec<(HostName, Instant)> {
    let mut placed = Vec::new();
    let mut running: Vec<(Instant, u64)> = Vec::new();
    let mut number = 0;
    let steps = length.as_millis() as u32 / 20;
    for now in (0..steps).map(|n| from + Duration::from_millis(20) * n) {
        let (ended, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|(at, _)| *at <= now);
        running = rest;
        for (_, n) in ended {
            pool.end(now, id(n), &StreamOutcome::Done);
        }
        number += 1;
        let tokens = if number % 25 == 0 { 60_000 } else { 3000 };
        pool.enqueue(now, request(now, number, tokens));
        for (n, grant) in dispatch(pool, now) {
            pool.on_first_event(now, id(n));
            running.push((now + Duration::from_millis(900), n));
            placed.push((grant.lead, now));
            placed.extend(grant.helpers.into_iter().map(|helper| (helper, now)));
        }
    }
    placed
}

fn start_times_on(placed: &[(HostName, Instant)], engine: usize) -> Vec<Instant> {
    let of_engine = placed.iter().filter(|(id, _)| *id == name(engine));
    of_engine.map(|(_, at)| *at).collect()
}

#[test]
fn streams_and_prompt_parts_count_against_the_limit() {
    let now = Instant::now();
    let mut pool = pool(now, 8);
    let limited = limit(1.9);
    pool.set_rate_limits(now, |id| {
        (*id == name(0) || *id == name(5)).then_some(&limited)
    });
    let placed = run_load(&mut pool, now, Duration::from_secs(30));
    for engine in [0, 5] {
        let start_times = start_times_on(&placed, engine);
        assert!(
            max_in_any_span(&start_times) <= 16,
            "{}",
            max_in_any_span(&start_times)
        );
    }
    let served = placed.iter().filter(|(id, _)| *id != name(0)).count();
    assert!(
        served >= 1400,
        "{served}: the other engines have room for all"
    );
}

#[test]
fn a_lifted_limit_no_longer_applies() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    let limited = limit(1.0);
    pool.set_rate_limits(now, |_| Some(&limited));
    assert!(start(&mut pool, now, 1, 3000).is_none());
    pool.set_rate_limits(now, |_| None);
    assert!(start(&mut pool, now, 2, 3000).is_some());
}

/// Every engine is rate-limited, so requests can only wait for their tokens.
#[test]
fn requests_wait_for_a_rate_token_that_comes_in_time_and_are_refused_otherwise() {
    let now = Instant::now();
    let mut pool = pool(now, 2);
    let limited = limit(2.0);
    pool.set_rate_limits(now, |_| Some(&limited));
    let later = now + Duration::from_millis(300);
    // The next tokens come in 0.2 s.
    pool.enqueue(later, request(later, 1, 3000));
    pool.dispatch(later);
    assert_eq!(pool.take_decisions(), []);
    for number in 2..6 {
        pool.enqueue(later, request(later, number, 3000));
    }
    let refused = pool.take_decisions();
    assert_eq!(refused.len(), 4, "{refused:?}");
    for (_, decision) in refused {
        let PlacementDecision::Refused { retry_after } = decision else {
            panic!("{decision:?}");
        };
        assert!(retry_after >= Duration::from_millis(200));
        assert!(retry_after <= Duration::from_secs(1));
    }
    let turn = later + Duration::from_millis(250);
    assert_eq!(dispatch(&mut pool, turn).len(), 1);
}

#[test]
fn a_node_that_is_not_the_owner_uses_no_rate_limited_engines() {
    let now = Instant::now();
    let mut pool = pool(now, 2);
    let limited = limit(5.0);
    pool.set_rate_limits(now, |id| (*id == name(0)).then_some(&limited));
    pool.set_owner(now, false);
    let placed = run_load(&mut pool, now, Duration::from_secs(3));
    assert_eq!(start_times_on(&placed, 0), []);
    let owner_from = now + Duration::from_secs(3);
    pool.set_owner(owner_from, true);
    let placed = run_load(&mut pool, owner_from, Duration::from_secs(4));
    let start_times = start_times_on(&placed, 0);
    assert!(
        (10..=22).contains(&start_times.len()),
        "{}",
        start_times.len()
    );
}

#[test]
fn a_restarted_engine_has_no_limit() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    let limited = limit(1.0);
    pool.record_start(now, &name(0), azuresaddle_core::deployment::TargetStart(1));
    pool.set_rate_limits(now, |_| Some(&limited));
    pool.record_start(now, &name(0), azuresaddle_core::deployment::TargetStart(2));
    assert!(start(&mut pool, now, 1, 3000).is_some());
}

/// A slow engine is probed every second.
#[test]
fn pace_probes_count_against_the_limit() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    pool.on_pace(now, &name(0), 4.0);
    let limited = limit(0.5);
    pool.set_rate_limits(now, |_| Some(&limited));
    let check_times = (0..200).map(|n| now + Duration::from_millis(100) * n);
    let probed = check_times.filter(|at| !pool.take_pace_probes(*at).is_empty());
    let probed: Vec<Instant> = probed.collect();
    assert!((8..=11).contains(&probed.len()), "{} in 20 s", probed.len());
    let last = probed[probed.len() - 1];
    assert!(start(&mut pool, last, 1, 3000).is_none());
}
