//! Share of its host's resources that a node uses.

use std::time::Duration;

use super::host_capacity::HostCapacity;
use super::host_counters::HostCounters;

/// Used shares of the resources of a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct HostUse {
    pub(super) cpu: f64,
    pub(super) link: f64,
    pub(super) memory: f64,
    pub(super) descriptors: f64,
}

impl HostUse {
    /// Returns the use between two readings of the counters.
    pub(super) fn between(
        capacity: &HostCapacity,
        before: &HostCounters,
        after: &HostCounters,
        elapsed: Duration,
    ) -> Self {
        let seconds = elapsed.as_secs_f64();
        let cpu_time = after.cpu_time.saturating_sub(before.cpu_time);
        let received = after.received_bytes.saturating_sub(before.received_bytes);
        let sent = after.sent_bytes.saturating_sub(before.sent_bytes);
        Self {
            cpu: cpu_time.as_secs_f64() / (capacity.cpu_share * seconds),
            link: received.max(sent) as f64 / (capacity.link_bytes_per_s * seconds),
            memory: after.resident_bytes as f64 / capacity.memory_bytes,
            descriptors: after.descriptors as f64 / after.max_descriptors.max(1) as f64,
        }
    }

    /// The largest of the shares, which limits what the node can take.
    pub(super) fn largest(&self) -> f64 {
        let shares = [self.cpu, self.link, self.memory, self.descriptors];
        // A share is not a number if its limit is stated as zero; the other shares count then.
        shares.into_iter().fold(0.0, f64::max)
    }
}
