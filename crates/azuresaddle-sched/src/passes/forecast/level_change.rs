//! A change of the level of demand.

use super::sort::Sort;

/// A change of the rate at which prompts of one sort arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LevelChange {
    /// The sort of prompt.
    pub sort: Sort,
    /// Arrivals per second before the change.
    pub from_per_s: f64,
    /// Arrivals per second since the change.
    pub to_per_s: f64,
}
