//! Durations from numbers that another process states or that a quotient of such numbers gives.
//!
//! All of them are at most [`MAX_DURATION`], so no sum with an instant or with another duration overflows.

use std::time::Duration;

use serde::{Deserialize, Deserializer};

/// Upper bound of a duration from outside, far above every timeout and wait that has an effect.
pub const MAX_DURATION: Duration = Duration::from_secs(24 * 60 * 60);

/// A stated number of seconds; `None` for NaN and negative numbers.
pub fn stated_seconds(seconds: f64) -> Option<Duration> {
    (seconds >= 0.0).then(|| saturating_seconds(seconds))
}

/// A stated number of milliseconds; `None` for NaN and negative numbers.
pub fn stated_millis(millis: f64) -> Option<Duration> {
    stated_seconds(millis / 1000.0)
}

/// A computed number of seconds; NaN and negative numbers count as zero.
#[expect(
    clippy::disallowed_methods,
    reason = "the number is in the range of a duration"
)]
pub fn saturating_seconds(seconds: f64) -> Duration {
    // `max` returns its argument for NaN.
    Duration::from_secs_f64(seconds.max(0.0).min(MAX_DURATION.as_secs_f64()))
}

/// A computed number of milliseconds; NaN and negative numbers count as zero.
pub fn saturating_millis(millis: f64) -> Duration {
    saturating_seconds(millis / 1000.0)
}

/// A duration times a factor; zero if the factor is NaN or negative.
pub fn scaled(duration: Duration, factor: f64) -> Duration {
    saturating_seconds(duration.as_secs_f64() * factor)
}

/// Deserializes a duration of another node; the format is serde's own.
///
/// # Errors
/// If the value is no duration.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    Duration::deserialize(deserializer).map(|d| d.min(MAX_DURATION))
}

#[cfg(test)]
mod tests;
