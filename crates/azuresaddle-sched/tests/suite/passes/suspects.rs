//! Requests that were running on a target when it crashed, and may be the cause.

use std::time::Duration;

use azuresaddle_sched::passes::{Mechanism, PassOptions, PassPool, StreamOutcome, Suspect};
use azuresaddle_sched::quarantine::Quarantine;
use tokio::time::Instant;

use super::*;

fn suspect(now: Instant, number: u64, fingerprint: u8) -> PlacementRequest {
    PlacementRequest {
        suspect: Some(Suspect {
            fingerprint: Fingerprint::of(&[&[fingerprint]]),
            needs_isolation: false,
        }),
        ..request(now, number, 3000)
    }
}

fn place(pool: &mut PassPool, now: Instant, request: PlacementRequest) -> Option<PlacementGrant> {
    let number = request.id.number;
    pool.enqueue(now, request);
    let all = dispatch(pool, now);
    all.into_iter().find(|(n, _)| *n == number).map(|(_, g)| g)
}

#[tokio::test(start_paused = true)]
async fn copies_of_a_suspect_run_concurrently_without_turns() {
    let now = Instant::now();
    let options = PassOptions::default().without(Mechanism::SuspectTurns);
    let mut pool = pool_with(now, 8, options);
    assert!(place(&mut pool, now, suspect(now, 1, 1)).is_some());
    assert!(place(&mut pool, now, suspect(now, 2, 1)).is_some());
}

/// Copies of one request that arrived within half a second were placed side by side, and each
/// crashed an engine.
#[tokio::test(start_paused = true)]
async fn one_copy_of_a_suspect_runs_at_a_time() {
    let now = Instant::now();
    let mut pool = pool(now, 8);
    let first = place(&mut pool, now, suspect(now, 1, 1)).unwrap();
    for number in 2..5 {
        assert!(place(&mut pool, now, suspect(now, number, 1)).is_none());
    }
    assert!(place(&mut pool, now, suspect(now, 9, 2)).is_some());
    pool.end(now, id(1), &StreamOutcome::TargetFailed(first.lead));
    let next = dispatch(&mut pool, now);
    assert_eq!(next.len(), 1);
    // The caller of the running copy disconnects, and the next copy is placed.
    pool.end(now, id(next[0].0), &StreamOutcome::Cancelled);
    assert_eq!(dispatch(&mut pool, now).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn long_copies_of_a_suspect_run_one_at_a_time_too() {
    let now = Instant::now();
    let mut pool = pool(now, 8);
    let long = |number| PlacementRequest {
        suspect: suspect(now, number, 9).suspect,
        ..request(now, number, 45_000)
    };
    assert!(place(&mut pool, now, long(1)).is_some());
    assert!(place(&mut pool, now, long(2)).is_none());
    pool.end(now, id(1), &StreamOutcome::Done);
    assert_eq!(dispatch(&mut pool, now).len(), 1);
}

/// The owner changes while a suspect runs.
#[tokio::test(start_paused = true)]
async fn a_new_owner_learns_of_running_suspects() {
    let now = Instant::now();
    let mut pool = pool(now, 8);
    let mut inherited = running_stream(7, 0);
    inherited.suspect = suspect(now, 0, 1).suspect;
    pool.sync_node(now, 7, &[inherited], |_| false);
    assert!(place(&mut pool, now, suspect(now, 1, 1)).is_none());
    assert!(place(&mut pool, now, suspect(now, 2, 2)).is_some());
}

/// Streams packed on one engine with a crashing request move to another engine with it and are
/// retried with it. Only that request may be taken for the cause.
#[tokio::test(start_paused = true)]
async fn streams_beside_a_crashing_request_are_not_quarantined() {
    let now = Instant::now();
    let mut pool = pool(now, 8);
    let mut quarantine = Quarantine::default();
    let cause = 0_u64;
    let fingerprint = |number: u64| Fingerprint::of(&[&number.to_le_bytes()]);
    let mut number = 0;
    for crash in 0..3 {
        let at = now + Duration::from_millis(200 * crash);
        let mut placed = Vec::new();
        let mut crashed_engine = None;
        for n in 0..10 {
            let crashes = quarantine.crashes_of(fingerprint(n)).len();
            let request = PlacementRequest {
                suspect: (crashes > 0).then(|| Suspect {
                    fingerprint: fingerprint(n),
                    needs_isolation: quarantine.is_one_crash_from_quarantine(now, fingerprint(n)),
                }),
                ..request(at, number, 3000)
            };
            // All are requested at the same time; some find no engine of their own.
            let grant = place(&mut pool, at, request);
            if n == cause {
                crashed_engine = grant.as_ref().map(|g| g.lead.clone());
            }
            placed.extend(grant.map(|g| (n, number, g.lead)));
            number += 1;
        }
        let crashed_engine = crashed_engine.expect("the first one finds an engine");
        for (n, number, lead) in placed {
            if lead == crashed_engine {
                quarantine.observe_crash(at, fingerprint(n), crash, at);
            }
            pool.end(at, id(number), &StreamOutcome::Cancelled);
        }
        // Withdraw the requests that found no engine.
        for left in 0..number {
            pool.end(at, id(left), &StreamOutcome::Cancelled);
        }
    }
    for n in 0..10 {
        let status = quarantine.status(now + Duration::from_secs(1), fingerprint(n));
        assert_eq!(status.is_quarantined(), n == cause, "request {n}");
    }
}

/// Whether an engine survives a request is known only a moment after the complete answer. When the
/// crashing request reached the engine within that moment, the crash was blamed on the harmless one
/// too.
#[tokio::test(start_paused = true)]
async fn an_engine_stays_isolated_until_it_has_survived_a_suspect() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    let isolated = |at, number, fingerprint| {
        let mut request = suspect(at, number, fingerprint);
        request.suspect = request.suspect.map(|s| Suspect {
            needs_isolation: true,
            ..s
        });
        request
    };
    assert!(place(&mut pool, now, isolated(now, 1, 1)).is_some());
    pool.end(now, id(1), &StreamOutcome::Done);
    let soon = now + Duration::from_millis(60);
    assert!(place(&mut pool, soon, isolated(soon, 2, 2)).is_none());
    // Requests that are not suspects are not delayed by it.
    assert!(start(&mut pool, soon, 3, 3000).is_some());
    let later = now + Duration::from_millis(120);
    assert_eq!(dispatch(&mut pool, later).len(), 1);
}
