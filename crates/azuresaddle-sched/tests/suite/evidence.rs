//! What speaks for a request that was on targets which ended, and how much it takes to stop one.

use std::time::Duration;

use azuresaddle_sched::quarantine::{CrashStatus, Quarantine, RecentSuccessfulRuns, RequestStatus};
use tokio::time::Instant;

use crate::quarantine::{MINUTE, crash, request, successful_run, with_crashes};

/// A sound request can be beside crashing ones on several targets in turn, while callers ask the same all the time.
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

/// Three targets end within half a second under requests that all callers ask; what spoke for them was seen before.
#[tokio::test(start_paused = true)]
async fn successful_runs_before_the_first_crash_count() {
    let now = Instant::now();
    let mut recent = RecentSuccessfulRuns::default();
    for run in 0..9 {
        recent.note(now, successful_run(1, run), run % 3);
    }
    let later = now + Duration::from_secs(1);
    let recalled = recent.take(later, request(1), |t| t == 0);
    assert_eq!(recalled.len(), 3, "of the last four, one was on the target");
    assert!(recent.take(later, request(1), |t| t == 0).is_empty());
    // What has just ended may have ended its target too, and what is long ago says little.
    recent.note(now, successful_run(2, 1), 5);
    assert!(recent.take(now, request(2), |_| false).is_empty());
    recent.note(now, successful_run(2, 1), 5);
    assert!(recent.take(now + MINUTE, request(2), |_| false).is_empty());
}

/// Its targets survive it now and then.
#[tokio::test(start_paused = true)]
async fn a_request_that_crashes_most_of_its_targets_is_quarantined() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    let mut ended = 0;
    while !quarantine.status(now, request(1)).is_quarantined() {
        if ended % 4 == 1 {
            quarantine.on_successful_run(now, successful_run(1, ended));
        }
        quarantine.on_crash(now, crash(1, ended));
        ended += 1;
        assert!(ended <= 6, "{ended} targets ended");
    }
}

/// One that only some kind of targets does not survive is stopped too, however often the others serve it.
#[tokio::test(start_paused = true)]
async fn the_number_of_crashes_before_quarantine_is_bounded() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    let mut ended = 0;
    while !quarantine.status(now, request(1)).is_quarantined() {
        for run in 0..20 {
            quarantine.on_successful_run(now, successful_run(1, 20 * ended + run));
        }
        quarantine.on_crash(now, crash(1, ended));
        ended += 1;
        assert!(ended <= 16, "{ended} targets ended");
    }
}

/// A request that ends its targets shares all of them with a common one, while others end too.
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

/// Callers ask the same all the time, on targets that others end one after the other; it is tried again soon.
#[tokio::test(start_paused = true)]
async fn a_request_that_some_targets_survived_is_retried_soon() {
    let now = Instant::now();
    let mut quarantine = with_crashes(now, 6);
    quarantine.on_successful_run(now, successful_run(1, 1));
    assert!(quarantine.status(now, request(1)).is_quarantined());
    let later = now + Duration::from_secs(6);
    assert_eq!(quarantine.status(later, request(1)), RequestStatus::Suspect);
    // Another crash of the one that is tried.
    quarantine.on_crash(later, crash(1, 9));
    let status = quarantine.status(later + Duration::from_secs(2), request(1));
    assert!(status.is_quarantined());
}

/// A good end that several nodes tell of counts once.
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

/// Targets end by themselves, a few at a time, and again; a stream that goes on elsewhere twice, and that its caller
/// sends once more, can be on four of them.
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

/// Each of three requests ends its targets at the same time as the others, and common streams are on all of them.
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
    assert!(quarantine.lift(request(1)));
    assert!(!quarantine.lift(request(1)));
    assert_eq!(quarantine.status(now, request(1)), RequestStatus::Clear);
    // Told once more by a node that has not heard of it.
    assert_eq!(quarantine.on_crash(now, crash(1, 2)), CrashStatus::Known);
    for target in 3..6 {
        quarantine.on_crash(now, crash(1, target));
    }
    assert!(quarantine.status(now, request(1)).is_quarantined());
}

/// One attempt of a request that ends its targets came to a whole answer just before its target was gone. For half a
/// minute nothing counted against it then, and 35 targets ended.
#[tokio::test(start_paused = true)]
async fn one_successful_run_does_not_hide_a_crashing_request() {
    let now = Instant::now();
    let mut quarantine = with_crashes(now, 1);
    quarantine.on_successful_run(now, successful_run(1, 1));
    let mut ended = 1;
    while !quarantine.status(now, request(1)).is_quarantined() {
        quarantine.on_crash(now, crash(1, 10 + ended));
        ended += 1;
        assert!(ended <= 6, "{ended} targets ended");
    }
}
