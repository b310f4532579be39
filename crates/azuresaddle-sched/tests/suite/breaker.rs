//! Circuit breaker of a target.

use std::time::Duration;

use azuresaddle_sched::Breaker;
use tokio::time::Instant;

#[test]
fn opens_after_failures_and_recovers_gradually() {
    let start = Instant::now();
    let mut breaker = Breaker::default();
    breaker.on_failure(start);
    assert!(breaker.allows(start, 100), "one failure may be chance");
    breaker.on_failure(start);
    assert!(!breaker.allows(start, 0));
    let later = start + Duration::from_secs(1);
    assert!(breaker.allows(later, 0));
    assert!(!breaker.allows(later, 1), "one at a time at first");
    breaker.on_success();
    assert!(breaker.allows(later, 1));
    assert!(!breaker.allows(later, 2));
    for _ in 0..3 {
        breaker.on_success();
    }
    assert!(breaker.allows(later, 100));
}

#[test]
fn stays_open_longer_after_each_failed_recovery() {
    let mut now = Instant::now();
    let mut breaker = Breaker::default();
    breaker.on_failure(now);
    breaker.on_failure(now);
    let mut pauses = Vec::new();
    for _ in 0..8 {
        let opens = breaker.open_until(now).expect("the breaker is open");
        pauses.push((opens - now).as_secs());
        now = opens;
        breaker.on_failure(now);
    }
    assert_eq!(pauses, [1, 2, 4, 8, 16, 30, 30, 30]);
}

#[test]
fn a_requested_back_off_limits_the_open_time() {
    let now = Instant::now();
    let mut breaker = Breaker::default();
    let back_off = Duration::from_millis(300);
    breaker.on_back_off(now, back_off);
    assert!(
        breaker.allows(now, 0),
        "only this sender may have been rejected"
    );
    let mut at = now;
    for _ in 0..6 {
        breaker.on_back_off(at, back_off);
        assert!(!breaker.allows(at, 0));
        at += back_off;
        assert!(breaker.allows(at, 0), "{:?}", at - now);
    }
    breaker.on_back_off(at, Duration::from_secs(3600));
    assert!(
        breaker.allows(at + Duration::from_secs(1), 0),
        "requests from other senders may be accepted"
    );
}
