//! Engines that restart under the same name.

use std::time::Duration;

use azuresaddle_core::deployment::TargetStart;
use tokio::time::Instant;

use super::*;

const FIRST: TargetStart = TargetStart(1_000);
const SECOND: TargetStart = TargetStart(2_000);

#[tokio::test(start_paused = true)]
async fn a_restarted_engine_holds_none_of_its_streams() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    assert!(pool.record_start(now, &name(0), FIRST));
    let first = start(&mut pool, now, 1, 700_000);
    assert!(first.is_none(), "more than the memory of one engine");
    let first = start(&mut pool, now, 2, 300_000).unwrap();
    assert!(first.first_event_in > Duration::from_millis(500));
    // Its memory and its next pass are taken.
    assert!(start(&mut pool, now, 3, 200_000).is_none());
    assert!(pool.record_start(now, &name(0), SECOND));
    let granted = dispatch(&mut pool, now);
    assert_eq!(granted[0].0, 3, "the engine is empty again");
    // The end of a stream of the earlier start does not affect the later one.
    pool.end(now, id(2), &StreamOutcome::TargetFailed(name(0)));
    assert_eq!(pool.running(), 1);
    assert!(start(&mut pool, now, 4, 300_000).is_none());
}

#[tokio::test(start_paused = true)]
async fn pace_and_failures_of_an_earlier_start_are_forgotten() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    pool.record_start(now, &name(0), FIRST);
    pool.on_pace(now, &name(0), 8.0);
    for number in 1..=3 {
        let _ = start(&mut pool, now, number, 2_000);
        pool.end(now, id(number), &StreamOutcome::TargetFailed(name(0)));
    }
    assert!(
        start(&mut pool, now, 4, 2_000).is_none(),
        "the breaker is open"
    );
    pool.end(now, id(4), &StreamOutcome::Cancelled);
    pool.record_start(now, &name(0), SECOND);
    let grant = start(&mut pool, now, 5, 2_000).unwrap();
    assert!(
        grant.first_event_in < Duration::from_millis(100),
        "{grant:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn reports_of_an_earlier_start_are_ignored() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    assert!(pool.record_start(now, &name(0), SECOND));
    let grant = start(&mut pool, now, 1, 2_000).unwrap();
    assert!(!pool.record_start(now, &name(0), FIRST));
    // An unknown start, or the same one, changes nothing.
    assert!(pool.record_start(now, &name(0), TargetStart::default()));
    assert!(pool.record_start(now, &name(0), SECOND));
    assert_eq!(grant.lead, name(0));
    pool.on_first_event(now, id(1));
    assert_eq!(pool.running(), 1);
}
