//! A network of one listener in memory, for tests on a paused clock.

use std::io;
use std::net::{IpAddr, SocketAddr};

use azuresaddle_core::prelude::*;
use tokio::io::{DuplexStream, duplex};
use tokio::sync::mpsc;

/// Bytes that a connection buffers in each direction.
const BUFFER_BYTES: usize = 64 << 10;

/// Number of connections that wait to be accepted.
const BACKLOG: usize = 64;

/// Connects to the one listener, whatever the address.
#[derive(Clone)]
pub(super) struct MemoryNetwork(mpsc::Sender<DuplexStream>);

/// The listener of a [`MemoryNetwork`].
pub(super) struct MemoryListener {
    addr: SocketAddr,
    accepted: mpsc::Receiver<DuplexStream>,
}

/// Creates a network and its listener.
pub(super) fn memory_network(addr: SocketAddr) -> (MemoryNetwork, MemoryListener) {
    let (tx, accepted) = mpsc::channel(BACKLOG);
    (MemoryNetwork(tx), MemoryListener { addr, accepted })
}

impl Network for MemoryNetwork {
    type Stream = DuplexStream;
    type Listener = MemoryListener;

    async fn connect(&self, _: SocketAddr) -> io::Result<DuplexStream> {
        let (near, far) = duplex(BUFFER_BYTES);
        let sent = self.0.send(far).await;
        sent.map_err(|_| io::Error::from(io::ErrorKind::ConnectionRefused))?;
        Ok(near)
    }

    async fn bind(&self, _: SocketAddr) -> io::Result<MemoryListener> {
        Err(io::Error::from(io::ErrorKind::AddrInUse))
    }
}

impl Listener for MemoryListener {
    type Stream = DuplexStream;

    async fn accept(&mut self) -> io::Result<DuplexStream> {
        let next = self.accepted.recv().await;
        next.ok_or_else(|| io::Error::from(io::ErrorKind::BrokenPipe))
    }

    fn peer_ip(_: &DuplexStream) -> Option<IpAddr> {
        None
    }

    fn local_addr(&self) -> SocketAddr {
        self.addr
    }
}
