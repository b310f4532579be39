//! Settings of a node in a test.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use azuresaddle_core::deployment::{Bounds, Features, ListenAddrs, NodeSettings};
use azuresaddle_core::prelude::*;

/// Settings of the node `n1` on the loopback address.
pub(crate) fn node_settings() -> NodeSettings {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    NodeSettings {
        name: HostName::new("n1"),
        domain: FailureDomain::new("d1"),
        ip: Ipv4Addr::LOCALHOST,
        listen: ListenAddrs {
            callers: addr,
            readiness: addr,
            directory: addr,
        },
        heartbeat_port: 1,
        peer_port: 2,
        tunnel_port: 3,
        seeds: Vec::new(),
        store: addr,
        target_heartbeat: Duration::from_secs(1),
        cpu_share: 0.12,
        memory_mb: 160,
        link_bytes_per_s: 2_500_000.0,
        bounds: Bounds {
            stop_grace: Duration::from_secs(5),
            retry_ratio: 0.1,
            retry_extra: 10.0,
            retry_window: Duration::from_secs(10),
            max_address_ttl: Duration::from_secs(3),
            max_hold: Duration::from_secs(10),
            target_stall: Duration::from_secs(1),
        },
        features: Features::default(),
    }
}
