//! Fair shares of client accounts.

use std::time::Duration;

use tokio::time::Instant;

use super::*;

fn request_of(account: &str, now: Instant, number: u64, tokens: u64) -> PlacementRequest {
    PlacementRequest {
        account: ClientAccount::new(account),
        ..request(now, number, tokens)
    }
}

/// Fills the only engine with decoding streams, and returns the number of the next request.
fn fill(pool: &mut PassPool, now: Instant) -> u64 {
    let mut number = 1;
    while start(pool, now, number, 2000).is_some() {
        pool.on_first_event(now, id(number));
        number += 1;
    }
    pool.end(now, id(number), &StreamOutcome::Cancelled);
    number + 1
}

#[tokio::test(start_paused = true)]
async fn an_account_with_many_waiting_requests_lets_others_go_first() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    let first = fill(&mut pool, now);
    for number in first..first + 6 {
        pool.enqueue(now, request_of("busy", now, number, 2000));
    }
    let other = first + 6;
    pool.enqueue(now, request_of("other", now, other, 2000));
    assert!(dispatch(&mut pool, now).is_empty());
    // Two slots become free.
    pool.end(now, id(1), &StreamOutcome::Done);
    pool.end(now, id(2), &StreamOutcome::Done);
    let later = now + Duration::from_millis(60);
    let placed: Vec<u64> = dispatch(&mut pool, later).iter().map(|(n, _)| *n).collect();
    assert!(placed.contains(&other), "{placed:?}");
}

#[tokio::test(start_paused = true)]
async fn an_account_that_floods_is_refused_at_once_and_others_are_not() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    let first = fill(&mut pool, now);
    let flood = |pool: &mut PassPool, now: Instant, numbers: std::ops::Range<u64>| {
        for number in numbers {
            pool.enqueue(now, request_of("flood", now, number, 2000));
        }
        pool.take_decisions().len()
    };
    // A burst, as after an outage, is no flood.
    assert_eq!(flood(&mut pool, now, first..first + 20), 0);
    let now = now + Duration::from_millis(600);
    assert_eq!(flood(&mut pool, now, first + 20..first + 30), 10);
    pool.enqueue(now, request_of("other", now, first + 30, 2000));
    assert!(pool.take_decisions().is_empty());
}

/// Guards against a flood limit that refuses the requests of the only account, which keeps no room for anybody.
#[tokio::test(start_paused = true)]
async fn the_only_account_is_not_refused_as_a_flood() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    let mut number = 1;
    while {
        pool.enqueue(now, request_of("only", now, number, 2000));
        !dispatch(&mut pool, now).is_empty()
    } {
        pool.on_first_event(now, id(number));
        number += 1;
    }
    for waiting in number + 1..number + 10 {
        pool.enqueue(now, request_of("only", now, waiting, 2000));
    }
    let now = now + Duration::from_millis(510);
    pool.enqueue(now, request_of("only", now, number + 10, 2000));
    assert!(pool.take_decisions().is_empty());
    // Other accounts get room as soon as there are any.
    pool.enqueue(now, request_of("other", now, number + 11, 2000));
    assert!(pool.take_decisions().is_empty());
    pool.enqueue(now, request_of("only", now, number + 12, 2000));
    assert_eq!(pool.take_decisions().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn equal_accounts_keep_the_order_of_arrival() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    let first = fill(&mut pool, now);
    for number in first..first + 4 {
        let account = if number % 2 == 0 { "one" } else { "other" };
        pool.enqueue(now, request_of(account, now, number, 2000));
    }
    pool.end(now, id(1), &StreamOutcome::Done);
    let later = now + Duration::from_millis(60);
    let placed = dispatch(&mut pool, later);
    assert_eq!(placed[0].0, first);
}
