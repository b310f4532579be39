//! Settings of a node that the platform provides.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use super::{Bounds, Features};
use crate::names::{FailureDomain, HostName};

/// Addresses that a node listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddrs {
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address for the platform's readiness checks.
    pub readiness: SocketAddr,
    /// Address for lookups of node addresses.
    pub directory: SocketAddr,
}

/// Settings that a node gets at its start.
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
    /// UDP port for datagrams between nodes, the same on all hosts.
    pub heartbeat_port: u16,
    /// TCP port for RPC between nodes, the same on all hosts.
    pub peer_port: u16,
    /// TCP port on which a node provides tunnels to targets for other nodes, the same on all hosts.
    pub tunnel_port: u16,
    /// Addresses of hosts that may run a node; some may no longer exist.
    pub seeds: Vec<Ipv4Addr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Interval of the targets' heartbeats.
    pub target_heartbeat: Duration,
    /// CPU quota of the host, as a share of one core.
    pub cpu_share: f64,
    /// Memory limit of the process, in megabytes.
    pub memory_mb: u64,
    /// Bandwidth of the host's link, in bytes per second.
    pub link_bytes_per_s: f64,
    /// Limits that the operator sets for the deployment.
    pub bounds: Bounds,
    /// Optional parts that the deployment calls for.
    pub features: Features,
}

impl NodeSettings {
    /// CPU quota of the host, in thousandths of a core.
    pub fn cpu_milli(&self) -> u32 {
        (self.cpu_share * 1000.0) as u32
    }
}
