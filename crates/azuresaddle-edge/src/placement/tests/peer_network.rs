//! A network in memory between the nodes of a test.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};

use azuresaddle_core::prelude::*;
use tokio::io::DuplexStream;

use crate::control::tests::memory_network::{MemoryListener, MemoryNetwork, memory_network};

/// Connects to the listener of the node that has the address.
#[derive(Clone)]
pub(super) struct PeerNetwork {
    nodes: Arc<HashMap<SocketAddr, MemoryNetwork>>,
    /// Addresses to which connections neither open nor fail.
    unreachable: Arc<Mutex<HashSet<SocketAddr>>>,
}

impl PeerNetwork {
    /// The same network as seen by one node, which may lose its path to others.
    pub(super) fn of_node(&self) -> Self {
        Self {
            nodes: Arc::clone(&self.nodes),
            unreachable: Arc::default(),
        }
    }

    /// Makes another node reachable or not.
    pub(super) fn set_reachable(&self, addr: SocketAddr, is_reachable: bool) {
        let mut unreachable = self.unreachable.lock().expect("no panic");
        if is_reachable {
            unreachable.remove(&addr);
        } else {
            unreachable.insert(addr);
        }
    }

    fn is_unreachable(&self, addr: SocketAddr) -> bool {
        self.unreachable.lock().expect("no panic").contains(&addr)
    }
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
    let net = PeerNetwork {
        nodes,
        unreachable: Arc::default(),
    };
    (net, listeners)
}

impl Network for PeerNetwork {
    type Stream = DuplexStream;
    type Listener = MemoryListener;

    async fn connect(&self, addr: SocketAddr) -> io::Result<DuplexStream> {
        if self.is_unreachable(addr) {
            std::future::pending::<()>().await;
        }
        let net = self.nodes.get(&addr);
        let net = net.ok_or_else(|| io::Error::from(io::ErrorKind::ConnectionRefused))?;
        net.connect(addr).await
    }

    async fn bind(&self, _: SocketAddr) -> io::Result<MemoryListener> {
        Err(io::Error::from(io::ErrorKind::AddrInUse))
    }
}
