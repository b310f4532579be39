//! Refusals of a pool, as counted by its metrics.

/// Numbers of refused requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RefusalCounts {
    /// Refused when they arrived.
    pub on_arrival: u64,
    /// Refused after they were queued.
    pub after_wait: u64,
}

impl RefusalCounts {
    /// Number of all refusals.
    pub fn total(&self) -> u64 {
        self.on_arrival + self.after_wait
    }
}
