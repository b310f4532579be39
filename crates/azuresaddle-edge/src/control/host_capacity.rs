//! What a node may use of its host.

use azuresaddle_core::deployment::NodeSettings;

/// Limits of a node's host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct HostCapacity {
    /// CPU quota, as a share of one core.
    pub(super) cpu_share: f64,
    /// Memory limit, in bytes.
    pub(super) memory_bytes: f64,
    /// Bandwidth of the link in each direction, in bytes per second.
    pub(super) link_bytes_per_s: f64,
}

impl HostCapacity {
    pub(super) fn new(settings: &NodeSettings) -> Self {
        Self {
            cpu_share: settings.cpu_share,
            memory_bytes: settings.memory_mb as f64 * 1e6,
            link_bytes_per_s: settings.link_bytes_per_s,
        }
    }
}
