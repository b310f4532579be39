//! A network in memory between the nodes of a test.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use azuresaddle_core::prelude::*;
use tokio::io::DuplexStream;

use crate::control::tests::memory_network::{MemoryListener, MemoryNetwork, memory_network};

/// Connects to the listener of the node that has the address.
#[derive(Clone)]
pub(super) struct PeerNetwork {
    nodes: Arc<HashMap<SocketAddr, MemoryNetwork>>,
}

/// Address of a node for calls between nodes.
pub(super) fn peer_addr(node: u64) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 7000 + node as u16))
}

/// Creates a network and the listeners of the nodes `1..=count`.
pub(super) fn peer_network(count: u64) -> (PeerNetwork, Vec<MemoryListener>) {
    let addrs = (1..=count).map(peer_addr);
    let (nodes, listeners): (HashMap<_, _>, Vec<_>) = addrs
        .map(|addr| {
            let (net, listener) = memory_network(addr);
            ((addr, net), listener)
        })
        .unzip();
    let nodes = Arc::new(nodes);
    (PeerNetwork { nodes }, listeners)
}

impl Network for PeerNetwork {
    type Stream = DuplexStream;
    type Listener = MemoryListener;

    async fn connect(&self, addr: SocketAddr) -> io::Result<DuplexStream> {
        let net = self.nodes.get(&addr);
        let net = net.ok_or_else(|| io::Error::from(io::ErrorKind::ConnectionRefused))?;
        net.connect(addr).await
    }

    async fn bind(&self, _: SocketAddr) -> io::Result<MemoryListener> {
        Err(io::Error::from(io::ErrorKind::AddrInUse))
    }
}
