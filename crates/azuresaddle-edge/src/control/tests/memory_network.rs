//! A network of one listener in memory, for tests on a paused clock.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use azuresaddle_core::prelude::*;
use tokio::io::{AsyncWriteExt, DuplexStream, duplex};
use tokio::sync::{RwLock, mpsc};

/// Bytes that a connection buffers in each direction, unless stated otherwise.
const BUFFER_BYTES: usize = 64 << 10;

/// Number of connections that wait to be accepted.
const BACKLOG: usize = 64;

/// Connects to the one listener, whatever the address.
#[derive(Clone)]
pub(crate) struct MemoryNetwork {
    opened: mpsc::Sender<DuplexStream>,
    buffer_bytes: usize,
    /// Locked for writing while no connection is established.
    pause: Arc<RwLock<()>>,
}

/// The listener of a [`MemoryNetwork`].
pub(crate) struct MemoryListener {
    addr: SocketAddr,
    accepted: mpsc::Receiver<DuplexStream>,
    pause: Arc<RwLock<()>>,
    /// Number of accepts that fail before others succeed.
    failures: u32,
}

impl MemoryListener {
    /// Makes the next accepts fail, as without free file descriptors.
    pub(crate) fn fail_accepts(&mut self, count: u32) {
        self.failures = count;
    }

    /// No connection is established while this is locked for writing; attempts wait.
    pub(crate) fn pause(&self) -> Arc<RwLock<()>> {
        Arc::clone(&self.pause)
    }
}

/// Creates a network and its listener.
pub(crate) fn memory_network(addr: SocketAddr) -> (MemoryNetwork, MemoryListener) {
    memory_network_with_buffer(addr, BUFFER_BYTES)
}

/// Creates a network whose connections buffer this many bytes in each direction, and its listener. With 0, they take
/// no bytes of the connecting side.
pub(crate) fn memory_network_with_buffer(
    addr: SocketAddr,
    buffer_bytes: usize,
) -> (MemoryNetwork, MemoryListener) {
    let (opened, accepted) = mpsc::channel(BACKLOG);
    let pause: Arc<RwLock<()>> = Arc::default();
    let net = MemoryNetwork {
        opened,
        buffer_bytes,
        pause: Arc::clone(&pause),
    };
    let listener = MemoryListener {
        addr,
        accepted,
        pause,
        failures: 0,
    };
    (net, listener)
}

impl Network for MemoryNetwork {
    type Stream = DuplexStream;
    type Listener = MemoryListener;

    async fn connect(&self, _: SocketAddr) -> io::Result<DuplexStream> {
        let _established = self.pause.read().await;
        let (mut near, far) = duplex(self.buffer_bytes.max(1));
        if self.buffer_bytes == 0 {
            near.write_all(&[0]).await?;
        }
        let sent = self.opened.send(far).await;
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
        if self.failures > 0 {
            self.failures -= 1;
            return Err(io::Error::other("too many open files"));
        }
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
