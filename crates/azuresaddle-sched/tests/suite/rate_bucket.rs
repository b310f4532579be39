//! Requests allowed to a target with a rate limit.

use std::time::Duration;

use azuresaddle_core::deployment::RateLimit;
use azuresaddle_sched::RateBucket;
use proptest::prelude::*;
use tokio::time::Instant;

/// Length of the window in which the limit is checked.
const SPAN: Duration = Duration::from_secs(4);

fn limit(rate: f64) -> RateLimit {
    RateLimit::per_second(rate).unwrap()
}

/// Maximum number of requests allowed in any window of length [`SPAN`].
fn max_allowed_per_span(rate: f64) -> usize {
    (1.5 * rate * SPAN.as_secs_f64()) as usize + 5
}

pub(super) fn max_in_any_span(passed: &[Instant]) -> usize {
    let in_span = |(n, start): (usize, &Instant)| {
        let end = *start + SPAN;
        passed[n..].iter().take_while(|at| **at < end).count()
    };
    passed.iter().enumerate().map(in_span).max().unwrap_or(0)
}

/// Tries to take a token every 5 ms for `length` and returns when it succeeded.
fn take_all(bucket: &mut RateBucket, from: Instant, length: Duration) -> Vec<Instant> {
    let steps = length.as_millis() as u32 / 5;
    let moments = (0..steps).map(|n| from + Duration::from_millis(5) * n);
    moments.filter(|now| bucket.take(*now)).collect()
}

#[test]
fn the_full_rate_is_used_but_not_exceeded() {
    let now = Instant::now();
    for rate in [0.3, 1.0, 1.9, 10.0, 100.0] {
        let mut bucket = RateBucket::new(now, limit(rate));
        let passed = take_all(&mut bucket, now, Duration::from_secs(40));
        let expected = rate * 40.0;
        assert!(
            passed.len() as f64 >= expected * 0.97 - 1.0,
            "{rate}: {}",
            passed.len()
        );
        assert!(
            passed.len() as f64 <= expected + 3.0,
            "{rate}: {}",
            passed.len()
        );
    }
}

#[test]
fn idle_time_does_not_raise_the_next_burst_above_the_limit() {
    let now = Instant::now();
    for rate in [1.0, 10.0, 100.0] {
        let mut bucket = RateBucket::new(now, limit(rate));
        let later = now + Duration::from_secs(3600);
        let passed = take_all(&mut bucket, later, SPAN * 2);
        assert!(
            max_in_any_span(&passed) <= max_allowed_per_span(rate),
            "{rate}"
        );
    }
}

#[test]
fn a_lower_limit_applies_at_once() {
    let now = Instant::now();
    let mut bucket = RateBucket::new(now, limit(10.0));
    take_all(&mut bucket, now, Duration::from_secs(2));
    let lowered = now + Duration::from_secs(4);
    bucket.set_limit(lowered, limit(1.0));
    let passed = take_all(&mut bucket, lowered, SPAN);
    assert!(passed.len() <= 5, "{}", passed.len());
}

#[test]
fn a_limit_of_zero_still_allows_occasional_probes() {
    let now = Instant::now();
    let mut bucket = RateBucket::new(now, limit(0.0));
    let passed = take_all(&mut bucket, now, Duration::from_secs(60));
    assert!((3..=6).contains(&passed.len()), "{}", passed.len());
    assert!(bucket.next_token_in(now) <= Duration::from_secs(20));
}

#[test]
fn a_very_large_limit_allows_every_request() {
    let now = Instant::now();
    let mut bucket = RateBucket::new(now, limit(1e300));
    let passed = take_all(&mut bucket, now + SPAN, SPAN);
    assert_eq!(passed.len(), 800);
}

/// The rate limiting moves from node to node, and two nodes limit at the same time for a moment.
#[test]
fn the_limit_holds_when_the_owning_node_changes() {
    let now = Instant::now();
    for rate in [1.0, 1.9, 10.0] {
        for overlap in [0, 500, 1000].map(Duration::from_millis) {
            let mut passed = Vec::new();
            let mut from = now;
            for _ in 0..8 {
                let mut bucket = RateBucket::new(from, limit(rate));
                passed.extend(take_all(&mut bucket, from, SPAN + overlap));
                from += SPAN;
            }
            passed.sort_unstable();
            let most = max_in_any_span(&passed);
            assert!(
                most <= max_allowed_per_span(rate),
                "{rate}, {overlap:?}: {most}"
            );
        }
    }
}

#[test]
fn a_suspended_bucket_allows_nothing_and_resumes_empty() {
    let now = Instant::now();
    let mut bucket = RateBucket::new(now, limit(10.0));
    bucket.suspend();
    let later = now + SPAN;
    assert!(!bucket.take(later));
    bucket.resume(later);
    assert!(!bucket.has_token(later), "it starts empty");
    assert!(bucket.take(later + Duration::from_millis(100)));
}

proptest! {
    #[test]
    fn no_sequence_of_requests_and_limits_exceeds_the_highest_limit(
        steps in proptest::collection::vec((0_u64..2000, 0_u32..40, 0.0..20.0_f64), 1..60),
    ) {
        let mut now = Instant::now();
        let mut bucket = RateBucket::new(now, limit(0.0));
        let mut passed = Vec::new();
        let highest = steps.iter().map(|(_, _, rate)| *rate).fold(0.0, f64::max);
        for (pause_ms, requests, rate) in steps {
            now += Duration::from_millis(pause_ms);
            bucket.set_limit(now, limit(rate));
            passed.extend((0..requests).filter(|_| bucket.take(now)).map(|_| now));
        }
        prop_assert!(max_in_any_span(&passed) <= max_allowed_per_span(highest));
    }
}
