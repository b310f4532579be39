//! Requests that a target has ended under, and which may be the cause.

use std::time::Duration;

use azuresaddle_sched::passes::{Mechanism, PassOptions, PassOutcome, PassPool, Suspect};
use azuresaddle_sched::quarantine::Quarantine;
use tokio::time::Instant;

use super::*;

fn suspect(now: Instant, number: u64, request: u8) -> PassAsk {
    PassAsk {
        suspect: Some(Suspect {
            request: Fingerprint::of(&[&[request]]),
            keeps_apart: false,
        }),
        ..ask(now, number, 3000)
    }
}

fn place(pool: &mut PassPool, now: Instant, ask: PassAsk) -> Option<PassGrant> {
    let number = ask.id.number;
    pool.enqueue(now, ask);
    let all = grants(pool, now);
    all.into_iter().find(|(n, _)| *n == number).map(|(_, g)| g)
}

#[tokio::test(start_paused = true)]
async fn without_turns_copies_of_a_suspect_run_side_by_side() {
    let now = Instant::now();
    let options = PassOptions::default().without(Mechanism::SuspectTurns);
    let mut pool = pool_with(now, 8, options);
    assert!(place(&mut pool, now, suspect(now, 1, 1)).is_some());
    assert!(place(&mut pool, now, suspect(now, 2, 1)).is_some());
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
        suspect: suspect(now, number, 9).suspect,
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
    told.suspect = suspect(now, 0, 1).suspect;
    pool.sync_node(now, 7, &[told], |_| false);
    assert!(place(&mut pool, now, suspect(now, 1, 1)).is_none());
    assert!(place(&mut pool, now, suspect(now, 2, 2)).is_some());
}

/// A crowd of streams is packed on one engine with the request that ends it, goes on packed with it elsewhere, and
/// comes back with it: only that request may be taken for the cause.
#[tokio::test(start_paused = true)]
async fn streams_that_move_together_with_the_cause_are_not_taken_for_it() {
    let now = Instant::now();
    let mut pool = pool(now, 8);
    let mut quarantine = Quarantine::default();
    let cause = 0_u64;
    let request = |number: u64| Fingerprint::of(&[&number.to_le_bytes()]);
    let mut number = 0;
    for crash in 0..3 {
        let at = now + Duration::from_millis(200 * crash);
        let mut on_the_engine = Vec::new();
        let mut ended = None;
        for n in 0..10 {
            let crashes = quarantine.crashes_of(request(n)).len();
            let ask = PassAsk {
                suspect: (crashes > 0).then(|| Suspect {
                    request: request(n),
                    keeps_apart: quarantine.is_one_crash_from_quarantine(now, request(n)),
                }),
                ..ask(at, number, 3000)
            };
            // All wait in one moment; some find no engine of their own.
            let grant = place(&mut pool, at, ask);
            if n == cause {
                ended = grant.as_ref().map(|g| g.lead.clone());
            }
            on_the_engine.extend(grant.map(|g| (n, number, g.lead)));
            number += 1;
        }
        let ended = ended.expect("the first one finds an engine");
        for (n, number, lead) in on_the_engine {
            if lead == ended {
                quarantine.observe_crash(at, request(n), crash, at);
            }
            pool.end(at, id(number), &PassOutcome::Cancelled);
        }
        // Those that found no engine have left.
        for left in 0..number {
            pool.end(at, id(left), &PassOutcome::Cancelled);
        }
    }
    for n in 0..10 {
        let standing = quarantine.status(now + Duration::from_secs(1), request(n));
        assert_eq!(standing.is_quarantined(), n == cause, "request {n}");
    }
}

/// Whether an engine survives a whole answer is looked at a moment later. The cause came to the engine within that
/// moment and ended it, which was held against the sound stream too.
#[tokio::test(start_paused = true)]
async fn an_engine_is_kept_apart_until_it_has_survived_a_suspect() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    let apart = |at, number, request| {
        let mut ask = suspect(at, number, request);
        ask.suspect = ask.suspect.map(|s| Suspect {
            keeps_apart: true,
            ..s
        });
        ask
    };
    assert!(place(&mut pool, now, apart(now, 1, 1)).is_some());
    pool.end(now, id(1), &PassOutcome::Done);
    let soon = now + Duration::from_millis(60);
    assert!(place(&mut pool, soon, apart(soon, 2, 2)).is_none());
    // Others are not held up by it.
    assert!(start(&mut pool, soon, 3, 3000).is_some());
    let later = now + Duration::from_millis(120);
    assert_eq!(grants(&mut pool, later).len(), 1);
}
