//! Datagrams between nodes.

use std::net::{Ipv4Addr, SocketAddr};

use azuresaddle_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Most bytes of a heartbeat; below the usual limit of an unfragmented datagram.
pub(super) const MAX_BYTES: usize = 1400;

/// Most addresses of other nodes that a heartbeat names.
pub(super) const MAX_NAMED: usize = 64;

/// A sign of life of a node, with the versions of what it knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Heartbeat {
    pub(super) name: HostName,
    /// Random number of this process.
    pub(super) incarnation: u64,
    /// Unix time of the start, in milliseconds; orders nodes, and is never compared to a clock.
    pub(super) started_ms: u64,
    /// Share of a core that the host offers, in thousandths.
    pub(super) cpu_milli: u32,
    /// Where callers connect.
    pub(super) callers: SocketAddr,
    /// Version of the configuration in force; 0 for none.
    pub(super) configuration: u64,
    /// Revision of the last change of targets that is known.
    pub(super) targets: u64,
    /// Whether the node is stopping.
    pub(super) leaving: bool,
    /// Hosts of nodes that it has heard.
    pub(super) heard: Vec<Ipv4Addr>,
}

impl Heartbeat {
    pub(super) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a heartbeat serializes")
    }

    /// Reads a datagram; `None` where it is no heartbeat.
    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
