//! Reservations in a single pool.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::{LiveStream, Outcome, ReservationRequest};
use tokio::time::Instant;

use super::support::{decide, decided, engine, pool, request, stream};

#[test]
fn a_duplicate_request_is_ignored() {
    let now = Instant::now();
    let mut pool = pool(now, 2, 400_000);
    pool.enqueue(now, request(1, now, 1_000));
    pool.enqueue(now, request(1, now, 1_000));
    assert_eq!(decide(&mut pool, now).len(), 1);
    pool.enqueue(now, request(1, now, 1_000));
    assert_eq!(decide(&mut pool, now).len(), 0);
    assert_eq!(pool.running(), 1);
}

#[test]
fn a_huge_prompt_gets_all_its_targets_at_once_or_none() {
    let now = Instant::now();
    let mut pool = pool(now, 3, 400_000);
    pool.enqueue(now, request(1, now, 1_000));
    assert_eq!(decide(&mut pool, now).len(), 1);
    pool.enqueue(now, request(2, now, 1_150_000));
    assert_eq!(decide(&mut pool, now).len(), 0, "one target is taken");
    pool.on_first_token(now, stream(1));
    pool.on_end(now, stream(1), Outcome::Done { tokens: 400 });
    assert_eq!(decide(&mut pool, now), ["2@e0,e1,e2"]);
}

#[test]
fn a_huge_prompt_is_not_starved_by_short_ones() {
    let mut now = Instant::now();
    let mut pool = pool(now, 3, 400_000);
    let mut next = 100;
    let mut running = Vec::new();
    pool.enqueue(now, request(1, now, 1_150_000));
    for _ in 0..3 {
        pool.enqueue(now, request(next, now, 8_000));
        next += 1;
    }
    // Short prompts keep arriving faster than the targets can serve them; each takes two seconds.
    for _ in 0..600 {
        let decisions = decide(&mut pool, now);
        if decided(&decisions, 1).is_some() {
            return;
        }
        running.extend(decisions.iter().map(|d| {
            let number: u128 = d
                .split('@')
                .next()
                .and_then(|n| n.parse().ok())
                .expect("a grant");
            (now, number)
        }));
        now += Duration::from_millis(100);
        running.retain(|(at, number)| {
            if now >= *at + Duration::from_millis(200) {
                pool.on_first_token(now, stream(*number));
            }
            let ended = now >= *at + Duration::from_secs(2);
            if ended {
                pool.on_end(now, stream(*number), Outcome::Done { tokens: 400 });
            }
            !ended
        });
        pool.enqueue(now, request(next, now, 8_000));
        next += 1;
    }
    panic!("the huge prompt never started");
}

#[test]
fn long_prompts_leave_targets_to_short_ones() {
    let now = Instant::now();
    let mut pool = pool(now, 10, 400_000);
    for number in 0..20 {
        pool.enqueue(now, request(number, now, 100_000));
    }
    let long = decide(&mut pool, now).len();
    assert!(
        (1..10).contains(&long),
        "{long} of 10 targets run long prefills"
    );
    pool.enqueue(now, request(100, now, 1_000));
    assert!(decided(&decide(&mut pool, now), 100).is_some());
}

#[test]
fn a_leaving_target_gets_no_new_requests() {
    let now = Instant::now();
    let mut pool = pool(now, 2, 400_000);
    pool.set_leaving(&engine(0), true);
    for number in 0..2 {
        pool.enqueue(now, request(number, now, 1_000));
    }
    assert_eq!(decide(&mut pool, now), ["0@e1"]);
}

#[test]
fn a_new_incarnation_releases_the_streams_of_the_last() {
    let now = Instant::now();
    let mut pool = pool(now, 1, 400_000);
    pool.on_incarnation(now, &engine(0), Incarnation(1));
    pool.enqueue(now, request(1, now, 1_000));
    decide(&mut pool, now);
    assert_eq!(pool.reserved_tokens(&engine(0)), Some(1_100));
    pool.on_incarnation(now, &engine(0), Incarnation(2));
    assert_eq!(pool.reserved_tokens(&engine(0)), Some(0));
}

#[test]
fn a_new_owner_adopts_running_streams() {
    let now = Instant::now();
    let mut pool = pool(now, 2, 400_000);
    let live = LiveStream {
        stream: stream(1),
        node: HostName::new("n"),
        account: ClientAccount::new("a"),
        memory_tokens: 390_000,
        decoding: true,
    };
    pool.adopt(now, &engine(0), &live);
    pool.adopt(now, &engine(0), &live);
    assert_eq!(pool.reserved_tokens(&engine(0)), Some(390_000));
    pool.enqueue(now, request(2, now, 100_000));
    assert_eq!(decide(&mut pool, now), ["2@e1"]);
}

#[test]
fn a_cancelled_prefill_no_longer_adds_to_the_expected_wait() {
    let now = Instant::now();
    let mut pool = pool(now, 2, 400_000);
    for number in 0..2 {
        pool.enqueue(now, request(number, now, 150_000));
    }
    decide(&mut pool, now);
    let id = PoolId {
        model: Model::new("m"),
        domain: FailureDomain::new("d"),
        shard: 0,
    };
    assert!(pool.digest(now, id.clone()).long_wait > Duration::ZERO);
    for number in 0..2 {
        pool.on_end(now, stream(number), Outcome::Cancelled);
    }
    assert_eq!(pool.digest(now, id).long_wait, Duration::ZERO);
}

#[test]
fn a_target_that_holds_the_prefix_is_preferred() {
    let now = Instant::now();
    let mut pool = pool(now, 4, 400_000);
    let prefix = vec![11, 12, 13, 14];
    pool.on_cache_listing(&engine(2), 7, prefix.clone());
    pool.enqueue(
        now,
        ReservationRequest {
            prefix,
            ..request(1, now, 5_000)
        },
    );
    assert_eq!(decide(&mut pool, now), ["1@e2"]);
}
