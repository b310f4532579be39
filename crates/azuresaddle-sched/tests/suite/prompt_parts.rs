//! Quarantine of parts of prompts that crash the targets of every request with them.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::quarantine::{
    Crash, MAX_PARTS_PER_CRASH, Quarantine, RecentSuccessfulRuns, RequestStatus, SuccessfulRun,
    TargetIncarnation, parts_to_remember,
};
use tokio::time::{Instant, advance};

use crate::quarantine::{MINUTE, request};

fn part(id: &str) -> Fingerprint {
    Fingerprint::of_prompt_part("llm", id)
}

/// Records that a target crashed while it ran a request with these parts.
fn crash(quarantine: &mut Quarantine, number: u32, target: u64, parts: &[&str]) {
    let now = Instant::now();
    let target = TargetIncarnation { target, number: 0 };
    let parts = parts.iter().map(|id| part(id));
    for fingerprint in parts.chain([request(number)]) {
        quarantine.on_crash(
            now,
            Crash {
                fingerprint,
                target,
            },
        );
    }
}

/// Records that a target crashed while it ran a request with these parts, of which the quarantine chooses some.
fn blame(
    quarantine: &mut Quarantine,
    number: u32,
    parts: &[Fingerprint],
    recent: &RecentSuccessfulRuns,
) {
    let now = Instant::now();
    let target = TargetIncarnation {
        target: u64::from(number),
        number: 0,
    };
    let mut blamed = quarantine.parts_to_blame(now, request(number), parts, recent);
    assert!(blamed.len() <= MAX_PARTS_PER_CRASH);
    blamed.push(request(number));
    for fingerprint in blamed {
        let crash = Crash {
            fingerprint,
            target,
        };
        quarantine.on_crash(now, crash);
    }
}

fn succeed(quarantine: &mut Quarantine, id: &str, run: u64) {
    let fingerprint = part(id);
    quarantine.on_successful_run(Instant::now(), SuccessfulRun { fingerprint, run });
}

fn is_quarantined(quarantine: &Quarantine, number: u32, parts: &[&str]) -> bool {
    let parts: Vec<Fingerprint> = parts.iter().map(|id| part(id)).collect();
    quarantine
        .request_status(Instant::now(), request(number), &parts)
        .is_quarantined()
}

/// Guards against a cause that is never found since no two requests with it are alike.
#[tokio::test(start_paused = true)]
async fn a_part_that_crashes_request_after_request_is_quarantined() {
    let mut quarantine = Quarantine::default();
    succeed(&mut quarantine, "first", 1);
    for n in 0..3 {
        assert!(!is_quarantined(&quarantine, 100 + n, &["first", "cause"]));
        crash(&mut quarantine, n, u64::from(n), &["first", "cause"]);
        // A harmless request was on two of the targets as well.
        if n > 0 {
            crash(&mut quarantine, 50, u64::from(n), &["first", "other"]);
        }
    }
    assert!(is_quarantined(&quarantine, 100, &["first", "cause"]));
    assert!(!is_quarantined(&quarantine, 50, &["first", "other"]));
}

/// Guards against a popular part that is accused wrongly and refused for long, and against a cause that comes back soon.
#[tokio::test(start_paused = true)]
async fn the_quarantine_of_a_part_grows_with_its_crashes() {
    let mut quarantine = Quarantine::default();
    for n in 0..3 {
        crash(&mut quarantine, n, u64::from(n), &["cause"]);
    }
    let status = quarantine.status(Instant::now(), part("cause"));
    assert_eq!(status, RequestStatus::Quarantined { left: MINUTE });
    for n in 3..6 {
        crash(&mut quarantine, n, u64::from(n), &["cause"]);
    }
    let status = quarantine.status(Instant::now(), part("cause"));
    assert_eq!(status, RequestStatus::Quarantined { left: 8 * MINUTE });
}

/// Guards against a popular part that is refused because it was beside each crash.
#[tokio::test(start_paused = true)]
async fn a_part_that_targets_survive_is_not_quarantined() {
    let mut quarantine = Quarantine::default();
    for n in 0..40 {
        if n % 5 == 0 {
            succeed(&mut quarantine, "popular", u64::from(n));
        }
        crash(&mut quarantine, n, u64::from(n), &["popular"]);
        assert!(
            !is_quarantined(&quarantine, 100, &["popular"]),
            "{n} crashes"
        );
    }
}

/// Guards against sound requests that are refused because the cause came with one of their parts each time.
#[tokio::test(start_paused = true)]
async fn of_two_parts_that_crash_together_neither_is_refused_alone() {
    let mut quarantine = Quarantine::default();
    for n in 0..8 {
        crash(&mut quarantine, n, u64::from(n), &["cause", "companion"]);
    }
    assert!(is_quarantined(&quarantine, 100, &["cause", "companion"]));
    assert!(!is_quarantined(&quarantine, 100, &["companion", "first"]));
    succeed(&mut quarantine, "companion", 1);
    succeed(&mut quarantine, "companion", 2);
    assert!(!is_quarantined(&quarantine, 100, &["companion"]));
    assert!(is_quarantined(&quarantine, 100, &["cause"]));
}

/// Guards against refusing what shares a part with a single request that crashes targets.
#[tokio::test(start_paused = true)]
async fn a_request_that_crashes_targets_does_not_incriminate_its_parts() {
    let mut quarantine = Quarantine::default();
    for target in 0..4 {
        crash(&mut quarantine, 1, target, &["part"]);
    }
    assert!(is_quarantined(&quarantine, 1, &["part"]));
    assert!(!is_quarantined(&quarantine, 2, &["part"]));
}

/// Guards against a quarantined part that goes on reaching targets since others crash for reasons of their own later.
#[tokio::test(start_paused = true)]
async fn later_crashes_of_other_targets_do_not_lift_the_quarantine_of_a_part() {
    let mut quarantine = Quarantine::default();
    for n in 0..3 {
        crash(&mut quarantine, n, u64::from(n), &["cause"]);
    }
    advance(Duration::from_millis(100)).await;
    for n in 10..16 {
        crash(&mut quarantine, n, u64::from(n), &[]);
        assert!(is_quarantined(&quarantine, 100, &["cause"]), "{n}");
    }
}

/// Guards against a popular part that is refused, or taken for the cause, where several causes crash targets one after the
/// other and few answers come through in between.
#[tokio::test(start_paused = true)]
async fn a_popular_part_keeps_successful_runs_in_reserve() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 0, 0, &["popular"]);
    for run in 0..6 {
        if quarantine.needs_successful_run(part("popular")) {
            succeed(&mut quarantine, "popular", run);
        }
    }
    for n in 1..12 {
        crash(&mut quarantine, n, u64::from(n), &["popular"]);
        let status = quarantine.status(Instant::now(), part("popular"));
        assert_eq!(status, RequestStatus::Clear, "{n}");
    }
}

#[test]
fn fingerprints_of_parts_and_requests_are_told_apart() {
    assert!(part("a").is_prompt_part());
    assert_ne!(part("a"), part("b"));
    assert_ne!(part("a"), Fingerprint::of_prompt_part("other", "a"));
    assert!((0..1000).all(|n| !request(n).is_prompt_part()));
}

/// Guards against a quarantined part that reaches targets again since another cause, which shared some of its crashes, has
/// crashed more since.
#[tokio::test(start_paused = true)]
async fn later_crashes_of_another_cause_do_not_lift_the_quarantine_of_a_part() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 0, 0, &["cause"]);
    for n in 1..3 {
        crash(&mut quarantine, n, u64::from(n), &["cause"]);
        crash(&mut quarantine, 50 + n, u64::from(n), &["other cause"]);
    }
    assert!(is_quarantined(&quarantine, 100, &["cause"]));
    advance(Duration::from_millis(100)).await;
    for n in 10..13 {
        crash(&mut quarantine, n, u64::from(n), &["other cause"]);
        assert!(is_quarantined(&quarantine, 100, &["cause"]), "{n}");
    }
    assert!(is_quarantined(&quarantine, 100, &["other cause"]));
}

/// Guards against sound requests that are refused since a request that crashes targets holds one of their parts, and one of
/// them was beside another cause.
#[tokio::test(start_paused = true)]
async fn a_crash_beside_another_cause_does_not_incriminate_the_parts_of_a_crashing_request() {
    let mut quarantine = Quarantine::default();
    for target in 0..3 {
        crash(&mut quarantine, 1, target, &["part"]);
    }
    crash(&mut quarantine, 50, 3, &["part"]);
    crash(&mut quarantine, 2, 3, &["other part"]);
    assert!(is_quarantined(&quarantine, 1, &["part"]));
    assert!(!is_quarantined(&quarantine, 100, &["part"]));
}

/// Guards against sound requests that are refused since one of their parts was on a target that crashed by itself, and beside
/// a request that crashes targets.
#[tokio::test(start_paused = true)]
async fn a_part_beside_a_crashing_request_is_not_quarantined_for_one_crash_of_its_own() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 50, 0, &["part"]);
    for target in 1..4 {
        crash(&mut quarantine, 1, target, &["other part"]);
    }
    crash(&mut quarantine, 50, 1, &["part"]);
    crash(&mut quarantine, 51, 3, &["part"]);
    assert!(is_quarantined(&quarantine, 1, &["other part"]));
    assert!(!is_quarantined(&quarantine, 100, &["part"]));
}

/// Guards against a crashing part that is never found since it stands behind many others, which all requests share.
#[tokio::test(start_paused = true)]
async fn a_crashing_part_is_found_among_hundreds_whatever_its_position() {
    let shared: Vec<Fingerprint> = (0..400).map(|n| part(&format!("shared {n}"))).collect();
    let mut recent = RecentSuccessfulRuns::default();
    for number in 0..80 {
        for fingerprint in parts_to_remember(request(number), &shared) {
            let run = u64::from(number);
            recent.record(Instant::now(), SuccessfulRun { fingerprint, run }, 99);
        }
    }
    advance(Duration::from_secs(1)).await;
    for position in [0, 9, 200, 400] {
        let mut parts = shared.clone();
        parts.insert(position, part("cause"));
        let mut quarantine = Quarantine::default();
        for n in 0..3 {
            blame(&mut quarantine, 100 + n, &parts, &recent);
        }
        let status = quarantine.request_status(Instant::now(), request(200), &parts);
        assert!(status.is_quarantined(), "position {position}");
        assert!(quarantine.len() <= 3 * (1 + MAX_PARTS_PER_CRASH));
    }
}

/// Guards against a crashing part that is left out each time among parts of which nothing is known.
#[tokio::test(start_paused = true)]
async fn a_crashing_part_is_found_among_parts_that_differ_between_requests() {
    let recent = RecentSuccessfulRuns::default();
    for position in [0, 9, 31] {
        let mut quarantine = Quarantine::default();
        let mut crashes = 0;
        let status = loop {
            let mut parts: Vec<Fingerprint> =
                (0..31).map(|n| part(&format!("{crashes} {n}"))).collect();
            parts.insert(position, part("cause"));
            let status = quarantine.request_status(Instant::now(), request(crashes), &parts);
            if status.is_quarantined() || crashes > 8 {
                break status;
            }
            blame(&mut quarantine, crashes, &parts, &recent);
            crashes += 1;
        };
        assert!(status.is_quarantined(), "position {position}");
    }
}
