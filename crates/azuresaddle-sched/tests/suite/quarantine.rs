//! Which requests are kept from all targets.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::quarantine::{Crash, Quarantine, Standing, TargetLife};
use proptest::prelude::*;
use tokio::time::Instant;

const MINUTE: Duration = Duration::from_secs(60);

fn request(n: u32) -> Fingerprint {
    Fingerprint::of(&[&n.to_le_bytes()])
}

fn crash(n: u32, target: u64) -> Crash {
    Crash {
        fingerprint: request(n),
        target: TargetLife(target),
    }
}

fn with_crashes(now: Instant, targets: u64) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for target in 0..targets {
        assert!(quarantine.on_crash(now, crash(1, target)));
    }
    quarantine
}

#[tokio::test(start_paused = true)]
async fn three_targets_that_ended_under_a_request_quarantine_it() {
    let now = Instant::now();
    assert_eq!(
        with_crashes(now, 0).standing(now, request(1)),
        Standing::Clear
    );
    for targets in 1..3 {
        let quarantine = with_crashes(now, targets);
        assert_eq!(quarantine.standing(now, request(1)), Standing::Suspect);
    }
    let quarantine = with_crashes(now, 3);
    assert!(quarantine.standing(now, request(1)).is_quarantined());
    assert_eq!(quarantine.standing(now, request(2)), Standing::Clear);
    assert_eq!(quarantine.quarantined(now).count(), 3);
}

/// Several nodes see the same end of a target, and each tells all others of it.
#[tokio::test(start_paused = true)]
async fn one_end_of_a_target_counts_once() {
    let now = Instant::now();
    let mut quarantine = with_crashes(now, 1);
    for _ in 0..9 {
        assert!(!quarantine.on_crash(now, crash(1, 0)));
    }
    assert_eq!(quarantine.standing(now, request(1)), Standing::Suspect);
}

/// A sound request can be beside a crashing one on several targets in turn.
#[tokio::test(start_paused = true)]
async fn a_good_end_settles_the_crashes_before_it() {
    let now = Instant::now();
    let mut quarantine = with_crashes(now, 2);
    assert!(quarantine.on_good_end(now, request(1)));
    assert!(!quarantine.on_good_end(now, request(1)));
    // Heard of once more, or of two later ones.
    assert!(!quarantine.on_crash(now, crash(1, 0)));
    assert_eq!(quarantine.standing(now, request(1)), Standing::Clear);
    quarantine.on_crash(now, crash(1, 7));
    quarantine.on_crash(now, crash(1, 8));
    assert_eq!(quarantine.standing(now, request(1)), Standing::Suspect);
    quarantine.on_crash(now, crash(1, 9));
    assert!(quarantine.standing(now, request(1)).is_quarantined());
}

#[tokio::test(start_paused = true)]
async fn a_quarantine_ends_by_itself_and_one_more_crash_doubles_it() {
    let now = Instant::now();
    let mut quarantine = with_crashes(now, 3);
    let ten = now + 10 * MINUTE;
    assert!(
        quarantine
            .standing(ten - MINUTE, request(1))
            .is_quarantined()
    );
    assert_eq!(quarantine.standing(ten, request(1)), Standing::Suspect);
    quarantine.on_crash(ten, crash(1, 3));
    let left = Standing::Quarantined { left: 20 * MINUTE };
    assert_eq!(quarantine.standing(ten, request(1)), left);
    assert_eq!(
        quarantine.standing(ten + 20 * MINUTE, request(1)),
        Standing::Suspect
    );
    quarantine.forget_old(ten + 31 * MINUTE);
    assert!(quarantine.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_single_crash_is_forgotten() {
    let now = Instant::now();
    let mut quarantine = with_crashes(now, 1);
    quarantine.forget_old(now + 9 * MINUTE);
    assert_eq!(quarantine.len(), 1);
    quarantine.forget_old(now + 11 * MINUTE);
    assert!(quarantine.is_empty());
}

/// Hundreds of full targets end in one moment; what is in quarantine outlasts what may be nothing.
#[tokio::test(start_paused = true)]
async fn memory_is_bounded_and_quarantines_stay() {
    let now = Instant::now();
    let mut quarantine = with_crashes(now, 3);
    for n in 2..10_000 {
        quarantine.on_crash(now, crash(n, 1));
    }
    assert_eq!(quarantine.len(), 4096);
    assert!(quarantine.standing(now, request(1)).is_quarantined());
}

proptest! {
    /// Nodes hear of the same crashes in different orders.
    #[test]
    fn the_order_of_news_does_not_matter(targets in proptest::collection::vec(0u64..6, 0..20)) {
        let now = Instant::now();
        let mut sorted = targets.clone();
        sorted.sort_unstable();
        let standing = |targets: &[u64]| {
            let mut quarantine = Quarantine::default();
            for target in targets {
                quarantine.on_crash(now, crash(1, *target));
            }
            quarantine.standing(now, request(1))
        };
        prop_assert_eq!(standing(&targets), standing(&sorted));
    }
}
