//! Backpressure that a target announces with its answers.

use std::time::Duration;

use super::RateLimit;

/// Backpressure signals that a target sends in the headers of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetSignals {
    /// Rate limit shared by all nodes; in force until an answer no longer has it.
    pub rate_limit: Option<RateLimit>,
    /// Whether it is draining: it finishes its running work and takes no new work.
    pub is_draining: bool,
    /// Time that the receiving node backs off, set if the target rejects a request.
    pub back_off: Option<Duration>,
}
