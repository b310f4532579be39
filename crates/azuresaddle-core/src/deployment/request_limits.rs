//! Limits on what a caller may send.

use std::time::Duration;

/// Limits on requests and on idle connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Most bytes of a head.
    pub max_header_bytes: usize,
    /// Most bytes of a body.
    pub max_body_bytes: usize,
    /// Longest time for a head.
    pub header_timeout: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    /// Limits until a configuration states others.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
