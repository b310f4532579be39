//! Limits that the operator sets for a deployment.

use std::time::Duration;

/// Limits of a deployment that every node observes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time between SIGTERM and SIGKILL.
    pub stop_grace: Duration,
    /// Retry budget: retries allowed per request to a service, over all nodes.
    pub retry_ratio: f64,
    /// Retries allowed per window in addition to the ratio, over all nodes.
    pub retry_extra: f64,
    /// Length of the sliding window of the retry budget.
    pub retry_window: Duration,
    /// Maximum time to live of an answer to an address lookup.
    pub max_address_ttl: Duration,
    /// Maximum time that a memory reservation on a target may be held without renewal.
    pub max_hold: Duration,
    /// Time that work waits for a target that stopped answering.
    pub target_stall: Duration,
}
