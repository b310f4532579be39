//! Bounds that the operator of a deployment sets.

use std::time::Duration;

/// Bounds of a deployment that the node keeps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time between SIGTERM and SIGKILL.
    pub stop_grace: Duration,
    /// Retries allowed for each request to a service, over all nodes.
    pub retry_ratio: f64,
    /// Retries allowed in each window beside the ratio, over all nodes.
    pub retry_extra: f64,
    /// Length of the sliding window of the retry budget.
    pub retry_window: Duration,
    /// Longest time to live of an answer about addresses that counts.
    pub max_address_ttl: Duration,
    /// Longest time that a memory reservation on a target may be held without renewal.
    pub max_hold: Duration,
    /// Time that work waits for a target that stopped answering.
    pub target_stall: Duration,
}
