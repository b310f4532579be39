//! Requests that a target has ended under, and which may be the cause.

use std::time::Duration;

use azuresaddle_sched::passes::{Mechanism, PassOptions, PassOutcome, PassPool};
use tokio::time::Instant;

use super::*;

fn suspect(now: Instant, number: u64, request: u8) -> PassAsk {
    PassAsk {
        suspect: Some(Fingerprint::of(&[&[request]])),
        ..ask(now, number, 3000)
    }
}

/// Eight engines, three of which write packed streams.
fn busy_pool(now: Instant, options: PassOptions) -> PassPool {
    let mut pool = pool_with(now, 8, options);
    for n in 0..30 {
        let at = now + Duration::from_millis(60 * n);
        start(&mut pool, at, n, 3000).expect("an engine is free");
        pool.on_first_event(at + Duration::from_millis(50), id(n));
    }
    pool
}

fn place(pool: &mut PassPool, now: Instant, ask: PassAsk) -> Option<PassGrant> {
    let number = ask.id.number;
    pool.enqueue(now, ask);
    let all = grants(pool, now);
    all.into_iter().find(|(n, _)| *n == number).map(|(_, g)| g)
}

/// What ends a target takes its other streams along; packed as usual that would be up to fifteen.
#[tokio::test(start_paused = true)]
async fn a_suspect_is_placed_where_it_takes_nobody_along() {
    let begin = Instant::now();
    let now = begin + Duration::from_millis(1900);
    let used = |pool: &mut PassPool| {
        let one = place(pool, now, suspect(now, 100, 1)).unwrap();
        let other = place(pool, now, suspect(now, 101, 2)).unwrap();
        assert_ne!(one.lead, other.lead);
        let usual = start(pool, now, 102, 3000).unwrap();
        (one.lead, usual.lead)
    };
    let mut pool = busy_pool(begin, PassOptions::default());
    let (alone, usual) = used(&mut pool);
    assert_ne!(alone, usual);
    pool.end(now, id(100), &PassOutcome::TargetFailed(alone.clone()));
    for n in 0..30 {
        pool.end(now, id(n), &PassOutcome::Done);
    }
    // Nothing but the suspects and the usual one was running elsewhere.
    assert_eq!(pool.running(), 2);
}

#[tokio::test(start_paused = true)]
async fn without_separation_a_suspect_is_packed() {
    let begin = Instant::now();
    let now = begin + Duration::from_millis(1900);
    let options = PassOptions::default().without(Mechanism::SuspectSeparation);
    let mut pool = busy_pool(begin, options);
    let one = place(&mut pool, now, suspect(now, 100, 1)).unwrap();
    let other = place(&mut pool, now, suspect(now, 101, 2)).unwrap();
    assert_eq!(one.lead, other.lead);
}

/// Copies of one request came within half a second and were placed side by side; each ended an engine.
#[tokio::test(start_paused = true)]
async fn one_copy_of_a_suspect_runs_at_a_time() {
    let now = Instant::now();
    let mut pool = pool(now, 8);
    let first = place(&mut pool, now, suspect(now, 1, 1)).unwrap();
    for number in 2..5 {
        assert!(place(&mut pool, now, suspect(now, number, 1)).is_none());
    }
    assert!(place(&mut pool, now, suspect(now, 9, 2)).is_some());
    pool.end(now, id(1), &PassOutcome::TargetFailed(first.lead));
    let next = grants(&mut pool, now);
    assert_eq!(next.len(), 1);
    // The caller of the copy that runs leaves: the next one has its turn.
    pool.end(now, id(next[0].0), &PassOutcome::Cancelled);
    assert_eq!(grants(&mut pool, now).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn long_copies_of_a_suspect_run_one_at_a_time_too() {
    let now = Instant::now();
    let mut pool = pool(now, 8);
    let long = |number| PassAsk {
        suspect: Some(Fingerprint::of(&[b"long"])),
        ..ask(now, number, 45_000)
    };
    assert!(place(&mut pool, now, long(1)).is_some());
    assert!(place(&mut pool, now, long(2)).is_none());
    pool.end(now, id(1), &PassOutcome::Done);
    assert_eq!(grants(&mut pool, now).len(), 1);
}

/// The owner changes while a suspect runs.
#[tokio::test(start_paused = true)]
async fn a_new_owner_is_told_of_suspects_that_run() {
    let now = Instant::now();
    let mut pool = pool(now, 8);
    let mut told = running(7, 0);
    told.suspect = Some(Fingerprint::of(&[&[1]]));
    pool.sync_node(now, 7, &[told], |_| false);
    assert!(place(&mut pool, now, suspect(now, 1, 1)).is_none());
    let other = start(&mut pool, now, 2, 3000).unwrap();
    assert_ne!(other.lead, name(0));
}
