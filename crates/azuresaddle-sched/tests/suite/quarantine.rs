//! Quarantine of requests that crash their targets.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::quarantine::{
    Crash, CrashStatus, Quarantine, RequestStatus, SuccessfulRun, TargetIncarnation,
};
use proptest::prelude::*;
use tokio::time::Instant;

pub(crate) const MINUTE: Duration = Duration::from_secs(60);

pub(crate) fn request(n: u32) -> Fingerprint {
    Fingerprint::of(&[&n.to_le_bytes()])
}

pub(crate) fn crash(n: u32, target: u64) -> Crash {
    Crash {
        fingerprint: request(n),
        target: TargetIncarnation { target, number: 0 },
    }
}

pub(crate) fn successful_run(n: u32, run: u64) -> SuccessfulRun {
    SuccessfulRun {
        fingerprint: request(n),
        run,
    }
}

pub(crate) fn with_crashes(now: Instant, targets: u64) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for target in 0..targets {
        assert_eq!(quarantine.on_crash(now, crash(1, target)), CrashStatus::New);
    }
    quarantine
}

#[tokio::test(start_paused = true)]
async fn three_crashed_targets_quarantine_a_request() {
    let now = Instant::now();
    assert_eq!(
        with_crashes(now, 0).status(now, request(1)),
        RequestStatus::Clear
    );
    for targets in 1..3 {
        let quarantine = with_crashes(now, targets);
        assert_eq!(quarantine.status(now, request(1)), RequestStatus::Suspect);
    }
    let quarantine = with_crashes(now, 3);
    assert!(quarantine.status(now, request(1)).is_quarantined());
    assert_eq!(quarantine.status(now, request(2)), RequestStatus::Clear);
    assert_eq!(quarantine.quarantined(now).count(), 3);
}

/// Several nodes see the same crash, and each reports it to all others.
#[tokio::test(start_paused = true)]
async fn one_crash_of_a_target_counts_once() {
    let now = Instant::now();
    let mut quarantine = with_crashes(now, 1);
    for _ in 0..9 {
        assert_eq!(quarantine.on_crash(now, crash(1, 0)), CrashStatus::Known);
    }
    assert_eq!(quarantine.status(now, request(1)), RequestStatus::Suspect);
}

/// While the store is down, the restart of a target under the same name is not known, and nodes send a request there
/// again.
#[tokio::test(start_paused = true)]
async fn a_target_that_runs_a_request_after_its_crash_has_a_new_incarnation() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    let second = Duration::from_secs(1);
    for n in 0..3 {
        let sent_at = now + 2 * second * n;
        let crashed_at = sent_at + second;
        let crash = quarantine.observe_crash(crashed_at, request(1), 7, sent_at);
        assert_eq!(crash.map(|c| u32::from(c.target.number)), Some(n));
        // Another copy of the request was on the same target when it crashed.
        assert_eq!(
            quarantine.observe_crash(crashed_at, request(1), 7, sent_at),
            None
        );
    }
    let end = now + 6 * second;
    assert!(quarantine.status(end, request(1)).is_quarantined());
}

#[tokio::test(start_paused = true)]
async fn a_quarantine_expires_and_one_more_crash_doubles_it() {
    let now = Instant::now();
    let mut quarantine = with_crashes(now, 3);
    let ten = now + 10 * MINUTE;
    assert!(quarantine.status(ten - MINUTE, request(1)).is_quarantined());
    assert_eq!(quarantine.status(ten, request(1)), RequestStatus::Suspect);
    quarantine.on_crash(ten, crash(1, 3));
    let left = RequestStatus::Quarantined { left: 20 * MINUTE };
    assert_eq!(quarantine.status(ten, request(1)), left);
    assert_eq!(
        quarantine.status(ten + 20 * MINUTE, request(1)),
        RequestStatus::Suspect
    );
    quarantine.remove_expired(ten + 31 * MINUTE);
    assert!(quarantine.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_single_crash_is_forgotten() {
    let now = Instant::now();
    let mut quarantine = with_crashes(now, 1);
    quarantine.remove_expired(now + 9 * MINUTE);
    assert_eq!(quarantine.len(), 1);
    quarantine.remove_expired(now + 11 * MINUTE);
    assert!(quarantine.is_empty());
}

/// Hundreds of full targets crash at once; quarantined requests are evicted after those with a single crash.
#[tokio::test(start_paused = true)]
async fn memory_is_bounded_and_quarantines_stay() {
    let now = Instant::now();
    let mut quarantine = with_crashes(now, 3);
    for n in 2..10_000 {
        quarantine.on_crash(now, crash(n, 1));
    }
    assert!(quarantine.len() <= 4096);
    assert!(quarantine.status(now, request(1)).is_quarantined());
}

/// A dozen streams were on the same three engines in turn, among them the request that crashed these.
#[tokio::test(start_paused = true)]
async fn requests_on_the_same_targets_are_distinguished_by_the_next_crash() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for target in 0..3 {
        for n in 1..=12 {
            quarantine.on_crash(now, crash(n, target));
        }
    }
    for n in 1..=12 {
        assert_eq!(quarantine.status(now, request(n)), RequestStatus::Suspect);
        assert!(quarantine.is_one_crash_from_quarantine(now, request(n)));
    }
    quarantine.on_crash(now, crash(1, 3));
    for n in 1..=12 {
        let status = quarantine.status(now, request(n));
        assert_eq!(status.is_quarantined(), n == 1, "request {n}");
    }
    assert!(
        quarantine
            .quarantined(now)
            .all(|c| c.fingerprint == request(1))
    );
}

/// Of two requests on the same crashed targets, the other one has completed a run, so it was not the cause.
#[tokio::test(start_paused = true)]
async fn a_successful_run_clears_the_other_suspect() {
    let now = Instant::now();
    let mut quarantine = with_crashes(now, 3);
    for target in 0..3 {
        quarantine.on_crash(now, crash(2, target));
    }
    assert_eq!(quarantine.status(now, request(1)), RequestStatus::Suspect);
    quarantine.on_successful_run(now, successful_run(2, 1));
    assert!(quarantine.status(now, request(1)).is_quarantined());
}

/// A harmless request that all callers send (1) was on three targets that two others (2 and 3) crashed within half a
/// second, so none of them completed it, and each crash is shared with a cause. It was held back for ten minutes.
#[tokio::test(start_paused = true)]
async fn a_request_that_shares_each_crash_with_another_suspect_is_tried_again_within_seconds() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for (target, requests) in [(0, &[1, 2][..]), (1, &[1, 2, 3]), (2, &[1, 3])] {
        for n in requests {
            quarantine.on_crash(now, crash(*n, target));
        }
    }
    assert!(quarantine.status(now, request(1)).is_quarantined());
    let later = now + Duration::from_secs(4);
    assert_eq!(quarantine.status(later, request(1)), RequestStatus::Suspect);
    assert!(quarantine.is_one_crash_from_quarantine(later, request(1)));

    let mut harmless = quarantine;
    harmless.on_successful_run(later, successful_run(1, 1));
    assert_eq!(harmless.status(later, request(1)), RequestStatus::Suspect);
}

/// As above, with seven shared crashes, a number that no other evidence excuses.
#[tokio::test(start_paused = true)]
async fn many_crashes_that_are_all_shared_keep_a_request_back_for_seconds_only() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for target in 0..7 {
        quarantine.on_crash(now, crash(1, target));
        quarantine.on_crash(now, crash(2 + target as u32 % 3, target));
    }
    let status = quarantine.status(now, request(1));
    let RequestStatus::Quarantined { left } = status else {
        panic!("{status:?}");
    };
    assert!(left <= Duration::from_secs(6), "{left:?}");
}

/// As above, but the request that is tried again crashes the target that runs it alone.
#[tokio::test(start_paused = true)]
async fn a_request_that_crashes_a_target_alone_after_a_short_quarantine_gets_a_long_one() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for target in 0..3 {
        quarantine.on_crash(now, crash(1, target));
        quarantine.on_crash(now, crash(2 + u32::from(target == 2), target));
    }
    let later = now + Duration::from_secs(4);
    quarantine.on_crash(later, crash(1, 3));
    let status = quarantine.status(later + 9 * MINUTE, request(1));
    assert!(status.is_quarantined());
}

proptest! {
    /// Nodes learn of the same crashes in different orders.
    #[test]
    fn the_order_of_crash_reports_does_not_matter(targets in proptest::collection::vec(0u64..6, 0..20)) {
        let now = Instant::now();
        let mut sorted = targets.clone();
        sorted.sort_unstable();
        let status = |targets: &[u64]| {
            let mut quarantine = Quarantine::default();
            for target in targets {
                quarantine.on_crash(now, crash(1, *target));
            }
            quarantine.status(now, request(1))
        };
        prop_assert_eq!(status(&targets), status(&sorted));
    }
}

/// A target crashed under one request, restarted unnoticed and crashed again under that request and a second one. The
/// second crash was counted as the target's first for the second request, so that the two did not share it.
#[tokio::test(start_paused = true)]
async fn requests_on_a_target_that_restarted_unnoticed_share_its_crash() {
    const TARGET: u64 = 7;
    let mut quarantine = Quarantine::default();
    let at = |ms| Instant::now() + Duration::from_millis(ms);
    let first = quarantine.observe_crash(at(100), request(1), TARGET, at(0));
    assert_eq!(first.map(|c| c.target.number), Some(0));
    let second = quarantine.observe_crash(at(300), request(1), TARGET, at(200));
    let beside = quarantine.observe_crash(at(301), request(2), TARGET, at(210));
    assert_eq!(second.map(|c| c.target.number), Some(1));
    assert_eq!(beside.map(|c| c.target), second.map(|c| c.target));
    // Another send to the incarnation that crashed adds no new crash.
    assert_eq!(
        quarantine.observe_crash(at(302), request(2), TARGET, at(220)),
        None
    );
}

/// A kept-alive connection to a target that has just crashed breaks shortly after the crash is known.
#[tokio::test(start_paused = true)]
async fn a_send_right_after_a_crash_counts_as_the_same_crash() {
    const TARGET: u64 = 7;
    let mut quarantine = Quarantine::default();
    let at = |ms| Instant::now() + Duration::from_millis(ms);
    let first = quarantine.observe_crash(at(100), request(1), TARGET, at(0));
    let beside = quarantine.observe_crash(at(106), request(2), TARGET, at(103));
    assert_eq!(beside.map(|c| c.target), first.map(|c| c.target));
    assert_eq!(
        quarantine.observe_crash(at(107), request(1), TARGET, at(103)),
        None
    );
}

/// A crashed target restarted unnoticed and served a request; when its new start became known later, it was taken for a
/// crash during that run.
#[tokio::test(start_paused = true)]
async fn a_send_after_a_known_crash_is_distinguished_from_one_before_it() {
    const TARGET: u64 = 7;
    let mut quarantine = Quarantine::default();
    let at = |ms| Instant::now() + Duration::from_millis(ms);
    assert!(!quarantine.has_crashed_before(TARGET, at(300)));
    quarantine.observe_crash(at(100), request(1), TARGET, at(0));
    assert!(!quarantine.has_crashed_before(TARGET, at(50)));
    assert!(quarantine.has_crashed_before(TARGET, at(300)));
    assert!(!quarantine.has_crashed_before(TARGET + 1, at(300)));
}

/// With one seed of the soak three of four engines crashed within half a second under different requests. A request that
/// all callers send had been on each of them, and was quarantined for ten minutes.
#[tokio::test(start_paused = true)]
async fn a_request_that_was_on_all_crashed_targets_is_cleared_once_the_causes_crash_others() {
    let now = Instant::now();
    let (popular, causes) = (1, [2, 3, 4]);
    let mut quarantine = Quarantine::default();
    for (target, cause) in causes.into_iter().enumerate() {
        quarantine.on_crash(now, crash(popular, target as u64));
        quarantine.on_crash(now, crash(cause, target as u64));
    }
    // Nothing tells it from a cause yet.
    assert!(quarantine.status(now, request(popular)).is_quarantined());
    for (n, cause) in causes.into_iter().enumerate() {
        for target in 0..2 {
            quarantine.on_crash(now, crash(cause, 10 * (n as u64 + 1) + target));
        }
    }
    assert!(!quarantine.status(now, request(popular)).is_quarantined());
    for cause in causes {
        assert!(quarantine.status(now, request(cause)).is_quarantined());
    }
}

/// A harmful request is not excused by others that crash targets too.
#[tokio::test(start_paused = true)]
async fn crashes_of_targets_without_another_cause_still_count() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    quarantine.on_crash(now, crash(1, 0));
    for target in 0..3 {
        quarantine.on_crash(now, crash(2, target));
    }
    for target in 10..12 {
        quarantine.on_crash(now, crash(1, target));
    }
    assert!(quarantine.status(now, request(1)).is_quarantined());
    assert!(quarantine.status(now, request(2)).is_quarantined());
}

/// A harmless request that all callers send was on a target that crashed by itself, then on three targets beside a cause. It was
/// held back for ten minutes and more.
#[tokio::test(start_paused = true)]
async fn one_crash_apart_before_shared_ones_keeps_a_request_back_for_seconds_only() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    quarantine.on_crash(now, crash(1, 0));
    for target in 1..4 {
        quarantine.on_crash(now, crash(1, target));
        quarantine.on_crash(now, crash(2, target));
    }
    assert!(quarantine.status(now, request(1)).is_quarantined());
    let later = now + Duration::from_secs(7);
    assert!(!quarantine.status(later, request(1)).is_quarantined());
}
