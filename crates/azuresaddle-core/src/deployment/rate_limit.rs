//! Rate limit of a target.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Requests per second that a target accepts from all nodes together; finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RateLimit(f64);

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
