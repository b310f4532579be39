//! Test for changes of the level of a count.
//!
//! A two-sided cumulative sum (CUSUM) of the deviations from the expected count, in units of the
//! square root of that count, which is the standard deviation of random arrivals.

use super::counter::Counter;

/// Change that must be found, as a factor of the level; smaller ones are left to the fast estimate.
const FACTOR: f64 = 2.5;

/// Largest deviation of an interval that does not add to the sum. At high counts it lets changes
/// much smaller than [`FACTOR`] be found.
const MAX_SLACK: f64 = 1.0;

/// Threshold for a rise. Counts of random arrivals at a constant rate exceed the thresholds less than
/// once a minute.
const RISE: Threshold = Threshold {
    least: 4.4,
    arrivals: 6.3,
};

/// Threshold for a fall. It is higher because the slack is smaller: a level can rise by much more
/// than it can fall.
const FALL: Threshold = Threshold {
    least: 5.6,
    arrivals: 8.6,
};

/// Lowest expected count by which deviations are divided: one arrival a second.
const MIN_EXPECTED: f64 = 0.05;

/// Sum of deviations above which there has been a change.
#[derive(Clone, Copy, Debug)]
struct Threshold {
    /// The threshold at high counts.
    least: f64,
    /// Number of arrivals beyond the slack that the threshold corresponds to at least. The counts of
    /// rare arrivals are skewed, so that the threshold for high counts is exceeded too often.
    arrivals: f64,
}

impl Threshold {
    /// The threshold for a count whose expected value has the square root `root`.
    fn at(self, root: f64) -> f64 {
        self.least.max(self.arrivals / root)
    }
}

/// Deviations in one direction.
#[derive(Clone, Copy, Debug, Default)]
struct Deviation {
    sum: f64,
    /// What was counted since the sum was last zero: the level after a change.
    since: Counter,
    intervals: f64,
}

impl Deviation {
    fn add(&mut self, deviation: f64, interval: Counter) {
        self.sum += deviation;
        self.since += interval;
        self.intervals += 1.0;
        if self.sum <= 0.0 {
            *self = Self::default();
        }
    }
}

/// Counts since a change.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChangedCounts {
    pub(super) sum: Counter,
    pub(super) intervals: f64,
}

/// State of the test.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ChangeTest {
    rise: Deviation,
    fall: Deviation,
}

impl ChangeTest {
    /// Takes the next interval's count, and returns what was counted since the change if there has
    /// been one.
    pub(super) fn add(&mut self, interval: Counter, expected: f64) -> Option<ChangedCounts> {
        let root = expected.max(MIN_EXPECTED).sqrt();
        let deviation = (interval.arrivals - expected) / root;
        let rise_slack = MAX_SLACK.min(slack(FACTOR) * root);
        let fall_slack = MAX_SLACK.min(slack(FACTOR.recip()) * root);
        self.rise.add(deviation - rise_slack, interval);
        self.fall.add(-deviation - fall_slack, interval);
        let found = [(self.rise, RISE), (self.fall, FALL)]
            .into_iter()
            .find_map(|(d, threshold)| (d.sum > threshold.at(root)).then_some(d))?;
        *self = Self::default();
        Some(ChangedCounts {
            sum: found.since,
            intervals: found.intervals,
        })
    }
}

/// Deviation, relative to the expected count, above which a count is more likely after a change by
/// `factor` than without one.
fn slack(factor: f64) -> f64 {
    ((factor - 1.0) / factor.ln() - 1.0).abs()
}
