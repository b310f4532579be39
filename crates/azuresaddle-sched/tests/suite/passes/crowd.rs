//! More short prompts than the engines can begin in time.

use std::time::Duration;

use tokio::time::Instant;

use super::*;

/// A short prompt of an account.
fn short(now: Instant, number: u64, account: &str) -> PassAsk {
    PassAsk {
        account: ClientAccount::new(account),
        ..ask(now, number, 4_000)
    }
}

/// Numbers of the asks that are refused now.
fn refused(pool: &mut PassPool, now: Instant) -> Vec<u64> {
    pool.dispatch(now);
    let decisions = pool.take_decisions().into_iter();
    let refused = decisions.filter(|(_, d)| matches!(d, PassDecision::Refused { .. }));
    refused.map(|(id, _)| id.number).collect()
}

/// Fills the engine and lets a crowd wait from now until a moment later.
fn crowd(pool: &mut PassPool, now: Instant, account: impl Fn(u64) -> String) -> Instant {
    let later = now + Duration::from_millis(1200);
    for step in 0..120 {
        let at = now + Duration::from_millis(10 * step);
        pool.enqueue(at, short(at, step, &account(step)));
        pool.dispatch(at);
    }
    later
}

#[tokio::test(start_paused = true)]
async fn the_last_of_a_crowd_are_refused_at_once_and_told_when_to_come_back() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    let later = crowd(&mut pool, now, |n| format!("a{}", n % 10));
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
async fn callers_that_return_together_are_no_crowd() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    for number in 0..60 {
        pool.enqueue(now, short(now, number, &format!("a{}", number % 10)));
    }
    assert!(refused(&mut pool, now).is_empty());
}

#[tokio::test(start_paused = true)]
async fn an_account_crowds_out_nobody_else() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    let later = crowd(&mut pool, now, |_| "many".to_owned());
    pool.take_decisions();
    pool.enqueue(later, short(later, 100, "few"));
    assert!(!refused(&mut pool, later).contains(&100));
}

#[tokio::test(start_paused = true)]
async fn a_late_one_waits_for_a_place_that_keeps_all_pauses() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    let grant = start(&mut pool, now, 1, 3_000).unwrap();
    let now = now + grant.first_event_in;
    pool.on_first_event(now, id(1));
    // The next pass is full: its streams have short pauses.
    let full: Vec<Option<PassGrant>> = (2..6).map(|n| start(&mut pool, now, n, 10_000)).collect();
    assert!(full.iter().any(Option::is_none), "{full:?}");
    let late = PassAsk {
        first_event_by: now,
        ..ask(now, 9, 10_000)
    };
    pool.enqueue(now, late.clone());
    assert!(grants(&mut pool, now).iter().all(|(n, _)| *n != 9));
    // One whose caller is about to give up takes any engine.
    pool.end(now, id(9), &PassOutcome::Cancelled);
    let desperate = PassAsk {
        give_up_at: now + Duration::from_millis(500),
        ..late
    };
    pool.enqueue(now, desperate);
    assert!(grants(&mut pool, now).iter().any(|(n, _)| *n == 9));
}
