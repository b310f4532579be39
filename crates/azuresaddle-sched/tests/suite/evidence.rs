//! Evidence for and against requests that were on crashed targets, and how much of it leads to quarantine.

use std::time::Duration;

use azuresaddle_sched::quarantine::{CrashStatus, Quarantine, RecentSuccessfulRuns, RequestStatus};
use tokio::time::Instant;

use crate::quarantine::{MINUTE, crash, request, successful_run, with_crashes};

/// A harmless request that callers send all the time can share several targets with crashing requests in turn.
#[tokio::test(start_paused = true)]
async fn a_request_that_most_targets_survive_is_not_quarantined() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for n in 0..10 {
        for run in 0..4 {
            quarantine.on_successful_run(now, successful_run(1, 4 * n + run));
        }
        quarantine.on_crash(now, crash(1, n));
        assert_eq!(quarantine.status(now, request(1)), RequestStatus::Clear);
    }
}

/// Three targets crash within half a second under popular requests, whose successful runs were all before.
#[tokio::test(start_paused = true)]
async fn successful_runs_before_the_first_crash_count() {
    let now = Instant::now();
    let mut recent = RecentSuccessfulRuns::default();
    for run in 0..9 {
        recent.record(now, successful_run(1, run), run % 3);
    }
    let later = now + Duration::from_secs(1);
    let recalled = recent.take(later, request(1), |t| t == 0);
    assert_eq!(recalled.len(), 3, "of the last four, one was on the target");
    assert!(recent.take(later, request(1), |t| t == 0).is_empty());
    // A run that has just completed may still crash its target, and a run long ago is weak evidence.
    recent.record(now, successful_run(2, 1), 5);
    assert!(recent.take(now, request(2), |_| false).is_empty());
    recent.record(now, successful_run(2, 1), 5);
    assert!(recent.take(now + MINUTE, request(2), |_| false).is_empty());
}

/// Its targets survive it occasionally.
#[tokio::test(start_paused = true)]
async fn a_request_that_crashes_most_of_its_targets_is_quarantined() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    let mut crashed = 0;
    while !quarantine.status(now, request(1)).is_quarantined() {
        if crashed % 4 == 1 {
            quarantine.on_successful_run(now, successful_run(1, crashed));
        }
        quarantine.on_crash(now, crash(1, crashed));
        crashed += 1;
        assert!(crashed <= 6, "{crashed} targets crashed");
    }
}

/// A request that crashes only one kind of target is quarantined too, however often other targets serve it.
#[tokio::test(start_paused = true)]
async fn the_number_of_crashes_before_quarantine_is_bounded() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    let mut crashed = 0;
    while !quarantine.status(now, request(1)).is_quarantined() {
        for run in 0..20 {
            quarantine.on_successful_run(now, successful_run(1, 20 * crashed + run));
        }
        quarantine.on_crash(now, crash(1, crashed));
        crashed += 1;
        assert!(crashed <= 16, "{crashed} targets crashed");
    }
}

/// A request that crashes its targets shares all of them with a popular request, while other targets crash too.
#[tokio::test(start_paused = true)]
async fn a_request_that_no_target_survives_is_quarantined_despite_other_suspects() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for target in 0..6 {
        quarantine.on_crash(now, crash(1, target));
        quarantine.on_crash(now, crash(2, target));
        quarantine.on_crash(now, crash(2, 50 + target));
        quarantine.on_crash(now, crash(100, 100 + target));
    }
    assert!(quarantine.status(now, request(1)).is_quarantined());
}

/// Callers send a request all the time to targets that other requests crash one after the other.
#[tokio::test(start_paused = true)]
async fn a_request_that_some_targets_survived_is_retried_soon() {
    let now = Instant::now();
    let mut quarantine = with_crashes(now, 6);
    quarantine.on_successful_run(now, successful_run(1, 1));
    assert!(quarantine.status(now, request(1)).is_quarantined());
    let later = now + Duration::from_secs(6);
    assert_eq!(quarantine.status(later, request(1)), RequestStatus::Suspect);
    // The retried copy crashes its target.
    quarantine.on_crash(later, crash(1, 9));
    let status = quarantine.status(later + Duration::from_secs(2), request(1));
    assert!(status.is_quarantined());
}

/// Several nodes report the same successful run.
#[tokio::test(start_paused = true)]
async fn one_successful_run_counts_once() {
    let now = Instant::now();
    let mut quarantine = with_crashes(now, 3);
    assert!(quarantine.on_successful_run(now, successful_run(1, 7)));
    assert!(!quarantine.on_successful_run(now, successful_run(1, 7)));
    assert!(!quarantine.status(now, request(1)).is_quarantined());
    assert_eq!(quarantine.on_crash(now, crash(1, 3)), CrashStatus::New);
    assert!(quarantine.status(now, request(1)).is_quarantined());
}

/// Targets crash on their own in repeated waves; a stream that resumes elsewhere twice and that its caller then retries
/// once can be on four of them.
#[tokio::test(start_paused = true)]
async fn a_request_on_targets_that_crash_on_their_own_is_served() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for wave in 0..4 {
        for target in 0..3 {
            let other = 100 + 10 * wave + target;
            quarantine.on_crash(now, crash(other, u64::from(other)));
        }
        quarantine.on_crash(now, crash(1, u64::from(wave)));
        let status = quarantine.status(now, request(1));
        assert!(!status.is_quarantined(), "wave {wave}");
    }
}

/// Three requests crash their targets at the same time, and a popular request runs on all of these.
#[tokio::test(start_paused = true)]
async fn several_crashing_requests_are_quarantined_and_their_neighbours_are_not() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for round in 0..3 {
        for n in 1..4 {
            let target = u64::from(10 * n + round);
            quarantine.on_crash(now, crash(n, target));
            quarantine.on_crash(now, crash(9, target));
            quarantine.on_successful_run(now, successful_run(9, 2 * target));
            quarantine.on_successful_run(now, successful_run(9, 2 * target + 1));
        }
    }
    for n in 1..4 {
        assert!(quarantine.status(now, request(n)).is_quarantined(), "{n}");
    }
    assert_eq!(quarantine.status(now, request(9)), RequestStatus::Clear);
}

#[tokio::test(start_paused = true)]
async fn a_quarantine_lifted_by_an_operator_returns_after_more_crashes() {
    let now = Instant::now();
    let mut quarantine = with_crashes(now, 3);
    assert!(quarantine.lift_quarantine(request(1)));
    assert!(!quarantine.lift_quarantine(request(1)));
    assert_eq!(quarantine.status(now, request(1)), RequestStatus::Clear);
    // Reported again by a node that does not know that the quarantine was lifted.
    assert_eq!(quarantine.on_crash(now, crash(1, 2)), CrashStatus::Known);
    for target in 3..6 {
        quarantine.on_crash(now, crash(1, target));
    }
    assert!(quarantine.status(now, request(1)).is_quarantined());
}

/// One attempt of a crashing request completed its answer just before its target crashed. For half a minute nothing
/// counted against the request then, and 35 targets crashed.
#[tokio::test(start_paused = true)]
async fn one_successful_run_does_not_hide_a_crashing_request() {
    let now = Instant::now();
    let mut quarantine = with_crashes(now, 1);
    quarantine.on_successful_run(now, successful_run(1, 1));
    let mut crashed = 1;
    while !quarantine.status(now, request(1)).is_quarantined() {
        quarantine.on_crash(now, crash(1, 10 + crashed));
        crashed += 1;
        assert!(crashed <= 6, "{crashed} targets crashed");
    }
}
