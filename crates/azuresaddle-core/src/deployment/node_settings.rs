//! Settings of a node that a platform hands over.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use super::Bounds;
use crate::names::{FailureDomain, HostName};

/// Addresses that a node listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddrs {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness checks of the platform.
    pub readiness: SocketAddr,
    /// Questions for addresses.
    pub directory: SocketAddr,
}

/// What a node is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Name of the host.
    pub name: HostName,
    /// Failure domain of the host.
    pub domain: FailureDomain,
    /// Address of the host.
    pub ip: Ipv4Addr,
    /// Listen addresses.
    pub listen: ListenAddrs,
    /// Port for datagrams between nodes, the same on all hosts.
    pub heartbeat_port: u16,
    /// Port for calls between nodes, the same on all hosts.
    pub peer_port: u16,
    /// Hosts that may run a node; some may be gone.
    pub seeds: Vec<Ipv4Addr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Interval of the targets' heartbeats.
    pub target_heartbeat: Duration,
    /// Share of a core that the host offers.
    pub cpu_share: f64,
    /// Memory of the process, in megabytes.
    pub memory_mb: u64,
    /// Bounds of the deployment.
    pub bounds: Bounds,
}
