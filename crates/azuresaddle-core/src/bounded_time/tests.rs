//! Tests of durations from numbers of other processes.

use std::time::Duration;

use super::{MAX_DURATION, saturating_seconds, scaled, stated_millis, stated_seconds};

/// Numbers at the bounds of what a duration and a float can hold.
const LARGE: [f64; 6] = [86_401.0, 1e17, 1.9e19, 1e300, f64::MAX, f64::INFINITY];

const BELOW_ZERO: [f64; 4] = [-f64::MIN_POSITIVE, -1.0, -1e300, f64::NEG_INFINITY];

#[test]
fn numbers_in_range_are_kept() {
    assert_eq!(stated_seconds(0.25), Some(Duration::from_millis(250)));
    assert_eq!(stated_millis(2500.0), Some(Duration::from_millis(2500)));
    assert_eq!(stated_seconds(-0.0), Some(Duration::ZERO));
    assert_eq!(
        scaled(Duration::from_secs(3), 1.5),
        Duration::from_millis(4500)
    );
}

#[test]
fn no_number_gives_a_duration_that_overflows_a_sum() {
    for number in LARGE {
        assert_eq!(stated_seconds(number), Some(MAX_DURATION));
        assert_eq!(saturating_seconds(number), MAX_DURATION);
    }
    for number in BELOW_ZERO.into_iter().chain([f64::NAN]) {
        assert_eq!(stated_seconds(number), None);
        assert_eq!(saturating_seconds(number), Duration::ZERO);
    }
    assert_eq!(scaled(Duration::MAX, 2.0), MAX_DURATION);
    assert_eq!(scaled(Duration::ZERO, f64::INFINITY), Duration::ZERO);
}
