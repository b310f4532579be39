//! Rate limit of a target.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Requests per second that a target accepts from all nodes together; finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64")]
pub struct RateLimit(f64);

/// A number that is no rate limit.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
#[error("{0} is no rate limit")]
pub struct InvalidRateLimit(f64);

impl TryFrom<f64> for RateLimit {
    type Error = InvalidRateLimit;

    fn try_from(requests: f64) -> Result<Self, InvalidRateLimit> {
        Self::per_second(requests).ok_or(InvalidRateLimit(requests))
    }
}

impl RateLimit {
    /// Creates a limit; `None` if the number is negative or not finite.
    pub fn per_second(requests: f64) -> Option<Self> {
        (requests.is_finite() && requests >= 0.0).then_some(Self(requests))
    }

    /// The limit times a factor; the limit itself if the factor is negative or not finite.
    #[must_use]
    pub fn scaled(self, factor: f64) -> Self {
        Self::per_second(self.0 * factor).unwrap_or(self)
    }

    /// The lower one of two limits.
    #[must_use]
    pub fn lower(self, other: Self) -> Self {
        Self(self.0.min(other.0))
    }

    /// Requests per second.
    pub fn requests_per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}
