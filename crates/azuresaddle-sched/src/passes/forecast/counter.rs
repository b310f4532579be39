//! Arrivals and prefill work within one interval.

use std::ops::{Add, AddAssign, Mul};

/// Arrivals and prefill work of one interval, or a weighted sum of several.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Counter {
    pub(super) arrivals: f64,
    pub(super) work_ms: f64,
    /// Sum of the squares of each arrival's work, for the error of the work.
    pub(super) squared_work: f64,
}

impl Counter {
    pub(super) fn on_arrival(&mut self, work_ms: f64) {
        *self += Self {
            arrivals: 1.0,
            work_ms,
            squared_work: work_ms * work_ms,
        };
    }
}

impl Add for Counter {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            arrivals: self.arrivals + other.arrivals,
            work_ms: self.work_ms + other.work_ms,
            squared_work: self.squared_work + other.squared_work,
        }
    }
}

impl AddAssign for Counter {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Mul<f64> for Counter {
    type Output = Self;

    fn mul(self, factor: f64) -> Self {
        Self {
            arrivals: self.arrivals * factor,
            work_ms: self.work_ms * factor,
            squared_work: self.squared_work * factor,
        }
    }
}
