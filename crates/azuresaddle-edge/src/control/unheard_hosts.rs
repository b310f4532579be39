//! Hosts that are not in the member list, but whose nodes may be running.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use tokio::time::Instant;

/// Time for which a host that became silent without a shutdown still counts as running. A crash and
/// a network partition look alike, so it is longer than a partition usually lasts; it is limited so
/// that hosts that never return don't accumulate.
const RETENTION: Duration = Duration::from_secs(3600);

/// Seeds that never answered, hosts known only by digest, and hosts that became silent without a
/// shutdown.
#[derive(Debug)]
pub(super) struct UnheardHosts {
    /// When each host was last assumed to be running.
    running_at: HashMap<Ipv4Addr, Instant>,
}

impl UnheardHosts {
    pub(super) fn new(now: Instant, seeds: &[Ipv4Addr]) -> Self {
        Self {
            running_at: seeds.iter().map(|ip| (*ip, now)).collect(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.running_at.len()
    }

    /// Adds a host whose node was running just now; true if it is new.
    pub(super) fn add(&mut self, now: Instant, ip: Ipv4Addr) -> bool {
        self.running_at.insert(ip, now).is_none()
    }

    /// Removes a host that is in the member list now.
    pub(super) fn remove(&mut self, ip: Ipv4Addr) {
        self.running_at.remove(&ip);
    }

    /// Removes the hosts that no longer count as running.
    pub(super) fn expire(&mut self, now: Instant) {
        self.running_at
            .retain(|_, at| now.saturating_duration_since(*at) < RETENTION);
    }
}
