//! Mean over the intervals so far, in which the weight of an interval decays with its age.

use std::time::Duration;

use super::INTERVAL;
use super::counter::Counter;

/// Exponentially decayed mean per interval.
///
/// The sum of the weights is kept beside the weighted sum, so that the mean is unbiased from the
/// first interval on.
#[derive(Clone, Copy, Debug)]
pub(super) struct DecayedMean {
    /// Factor by which weights decay per interval.
    decay: f64,
    sum: Counter,
    weight: f64,
}

impl DecayedMean {
    pub(super) fn new(time_constant: Duration) -> Self {
        Self {
            decay: (-INTERVAL.as_secs_f64() / time_constant.as_secs_f64()).exp(),
            sum: Counter::default(),
            weight: 0.0,
        }
    }

    pub(super) fn add(&mut self, interval: Counter) {
        self.sum = self.sum * self.decay + interval;
        self.weight = self.weight * self.decay + 1.0;
    }

    /// Begins again with the sum over `intervals` intervals.
    pub(super) fn restart(&mut self, sum: Counter, intervals: f64) {
        self.sum = sum;
        self.weight = intervals;
    }

    /// Sum of the weights, in intervals.
    pub(super) fn weight(&self) -> f64 {
        self.weight
    }

    /// Mean per interval; zero before the first one.
    pub(super) fn mean(&self) -> Counter {
        if self.weight > 0.0 {
            self.sum * self.weight.recip()
        } else {
            Counter::default()
        }
    }
}
