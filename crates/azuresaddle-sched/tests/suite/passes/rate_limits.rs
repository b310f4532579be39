//! Engines that limit their rate.

use azuresaddle_core::deployment::RateLimit;

use super::*;
use crate::rate_bucket::max_in_any_span;

fn limit(rate: f64) -> RateLimit {
    RateLimit::per_second(rate).unwrap()
}

/// A day of short prompts, one each 20 ms; when each engine got a stream, as the lead or as a helper.
fn day(pool: &mut PassPool, from: Instant, length: Duration) -> Vec<(HostName, Instant)> {
    let mut placed = Vec::new();
    let mut running: Vec<(Instant, u64)> = Vec::new();
    let mut number = 0;
    let steps = length.as_millis() as u32 / 20;
    for now in (0..steps).map(|n| from + Duration::from_millis(20) * n) {
        let (ended, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|(at, _)| *at <= now);
        running = rest;
        for (_, n) in ended {
            pool.end(now, id(n), &PassOutcome::Done);
        }
        number += 1;
        let tokens = if number % 25 == 0 { 60_000 } else { 3000 };
        pool.enqueue(now, ask(now, number, tokens));
        for (n, grant) in grants(pool, now) {
            pool.on_first_event(now, id(n));
            running.push((now + Duration::from_millis(900), n));
            placed.push((grant.lead, now));
            placed.extend(grant.helpers.into_iter().map(|helper| (helper, now)));
        }
    }
    placed
}

fn moments_of(placed: &[(HostName, Instant)], engine: usize) -> Vec<Instant> {
    let of_engine = placed.iter().filter(|(id, _)| *id == name(engine));
    of_engine.map(|(_, at)| *at).collect()
}

#[test]
fn streams_and_parts_of_prompts_count_against_the_limit() {
    let now = Instant::now();
    let mut pool = pool(now, 8);
    let limited = limit(1.9);
    pool.set_rate_limits(now, |id| {
        (*id == name(0) || *id == name(5)).then_some(&limited)
    });
    let placed = day(&mut pool, now, Duration::from_secs(30));
    for engine in [0, 5] {
        let moments = moments_of(&placed, engine);
        assert!(
            max_in_any_span(&moments) <= 16,
            "{}",
            max_in_any_span(&moments)
        );
    }
    let served = placed.iter().filter(|(id, _)| *id != name(0)).count();
    assert!(
        served >= 1400,
        "{served}: the other engines have room for all"
    );
}

#[test]
fn a_limit_that_is_lifted_holds_no_longer() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    let limited = limit(1.0);
    pool.set_rate_limits(now, |_| Some(&limited));
    assert!(start(&mut pool, now, 1, 3000).is_none());
    pool.set_rate_limits(now, |_| None);
    assert!(start(&mut pool, now, 2, 3000).is_some());
}

/// All engines are in need at once.
#[test]
fn asks_wait_for_their_turn_where_it_comes_in_time_and_are_refused_at_once_where_not() {
    let now = Instant::now();
    let mut pool = pool(now, 2);
    let limited = limit(2.0);
    pool.set_rate_limits(now, |_| Some(&limited));
    let later = now + Duration::from_millis(300);
    // The next tokens come in 0.2 s.
    pool.enqueue(later, ask(later, 1, 3000));
    pool.dispatch(later);
    assert_eq!(pool.take_decisions(), []);
    for number in 2..6 {
        pool.enqueue(later, ask(later, number, 3000));
    }
    let refused = pool.take_decisions();
    assert_eq!(refused.len(), 4, "{refused:?}");
    for (_, decision) in refused {
        let PassDecision::Refused { retry_after } = decision else {
            panic!("{decision:?}");
        };
        assert!(retry_after >= Duration::from_millis(200));
        assert!(retry_after <= Duration::from_secs(1));
    }
    let turn = later + Duration::from_millis(250);
    assert_eq!(grants(&mut pool, turn).len(), 1);
}

#[test]
fn a_node_that_places_alone_leaves_limited_engines_to_the_owner() {
    let now = Instant::now();
    let mut pool = pool(now, 2);
    let limited = limit(5.0);
    pool.set_rate_limits(now, |id| (*id == name(0)).then_some(&limited));
    pool.set_placing(now, false);
    let placed = day(&mut pool, now, Duration::from_secs(3));
    assert_eq!(moments_of(&placed, 0), []);
    let owner_from = now + Duration::from_secs(3);
    pool.set_placing(owner_from, true);
    let placed = day(&mut pool, owner_from, Duration::from_secs(4));
    let moments = moments_of(&placed, 0);
    assert!((10..=22).contains(&moments.len()), "{}", moments.len());
}

#[test]
fn a_later_start_of_an_engine_has_no_limit() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    let limited = limit(1.0);
    pool.note_start(now, &name(0), azuresaddle_core::deployment::TargetStart(1));
    pool.set_rate_limits(now, |_| Some(&limited));
    pool.note_start(now, &name(0), azuresaddle_core::deployment::TargetStart(2));
    assert!(start(&mut pool, now, 1, 3000).is_some());
}

/// A slow engine is asked for its pace each second.
#[test]
fn questions_for_the_pace_count_against_the_limit() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    pool.on_pace(now, &name(0), 4.0);
    let limited = limit(0.5);
    pool.set_rate_limits(now, |_| Some(&limited));
    let moments = (0..200).map(|n| now + Duration::from_millis(100) * n);
    let asked = moments.filter(|at| !pool.take_pace_questions(*at).is_empty());
    let asked: Vec<Instant> = asked.collect();
    assert!((8..=11).contains(&asked.len()), "{} in 20 s", asked.len());
    let last = asked[asked.len() - 1];
    assert!(start(&mut pool, last, 1, 3000).is_none());
}
