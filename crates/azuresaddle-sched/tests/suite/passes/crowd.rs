//! More short prompts than the engines can start in time.

use std::time::Duration;

use tokio::time::Instant;

use super::*;

/// A short prompt of an account.
fn short(now: Instant, number: u64, account: &str) -> PlacementRequest {
    PlacementRequest {
        account: ClientAccount::new(account),
        ..request(now, number, 4_000)
    }
}

/// Dispatches and returns the numbers of the refused requests.
fn refused(pool: &mut PassPool, now: Instant) -> Vec<u64> {
    pool.dispatch(now);
    let decisions = pool.take_decisions().into_iter();
    let refused = decisions.filter(|(_, d)| matches!(d, PlacementDecision::Refused { .. }));
    refused.map(|(id, _)| id.number).collect()
}

/// Fills the engine and lets further short prompts queue up; returns a moment after that.
fn queue_up(pool: &mut PassPool, now: Instant, account: impl Fn(u64) -> String) -> Instant {
    let later = now + Duration::from_millis(1200);
    for step in 0..120 {
        let at = now + Duration::from_millis(10 * step);
        pool.enqueue(at, short(at, step, &account(step)));
        pool.dispatch(at);
    }
    later
}

#[tokio::test(start_paused = true)]
async fn short_requests_behind_a_long_queue_are_refused_at_once() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    let later = queue_up(&mut pool, now, |n| format!("a{}", n % 10));
    pool.take_decisions();
    for number in 100..130 {
        pool.enqueue(later, short(later, number, "a0"));
    }
    let refused = refused(&mut pool, later);
    assert!(
        refused.iter().filter(|n| **n >= 100).count() > 20,
        "{refused:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn a_burst_of_returning_callers_is_not_refused() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    for number in 0..60 {
        pool.enqueue(now, short(now, number, &format!("a{}", number % 10)));
    }
    assert!(refused(&mut pool, now).is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_queue_of_one_account_does_not_refuse_others() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    let later = queue_up(&mut pool, now, |_| "many".to_owned());
    pool.take_decisions();
    pool.enqueue(later, short(later, 100, "few"));
    assert!(!refused(&mut pool, later).contains(&100));
}

#[tokio::test(start_paused = true)]
async fn a_late_short_request_waits_until_it_delays_no_stream() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    let grant = start(&mut pool, now, 1, 3_000).unwrap();
    let now = now + grant.first_event_in;
    pool.on_first_event(now, id(1));
    // The next pass has no headroom left: its streams have short pauses.
    let full: Vec<Option<PlacementGrant>> =
        (2..6).map(|n| start(&mut pool, now, n, 10_000)).collect();
    assert!(full.iter().any(Option::is_none), "{full:?}");
    let late = PlacementRequest {
        first_event_by: now,
        ..request(now, 9, 10_000)
    };
    pool.enqueue(now, late.clone());
    assert!(dispatch(&mut pool, now).iter().all(|(n, _)| *n != 9));
    // A late request is placed on any engine once its caller is about to give up.
    pool.end(now, id(9), &StreamOutcome::Cancelled);
    let about_to_give_up = PlacementRequest {
        give_up_at: now + Duration::from_millis(500),
        ..late
    };
    pool.enqueue(now, about_to_give_up);
    assert!(dispatch(&mut pool, now).iter().any(|(n, _)| *n == 9));
}
