//! TCP implementation of the network abstraction.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use super::{Listener, Network};

/// TCP user timeout: a connection breaks when sent data stays unacknowledged for this long, which
/// is many round trips within a region.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);

/// Idle time before the first keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which a connection breaks.
const MAX_KEEPALIVE_PROBES: u32 = 2;

/// Network of the operating system's TCP sockets.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpNetwork;

/// A bound TCP listener.
#[derive(Debug)]
pub struct TcpListener {
    inner: tokio::net::TcpListener,
    local_addr: SocketAddr,
}

impl Network for TcpNetwork {
    type Stream = TcpStream;
    type Listener = TcpListener;

    async fn connect(&self, addr: SocketAddr) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(MAX_KEEPALIVE_PROBES);
        socket.set_tcp_keepalive(&keepalive)?;
        Ok(stream)
    }

    async fn bind(&self, addr: SocketAddr) -> io::Result<TcpListener> {
        let inner = tokio::net::TcpListener::bind(addr).await?;
        let local_addr = inner.local_addr()?;
        Ok(TcpListener { inner, local_addr })
    }
}

impl Listener for TcpListener {
    type Stream = TcpStream;

    async fn accept(&mut self) -> io::Result<TcpStream> {
        let (stream, _) = self.inner.accept().await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    fn peer_ip(stream: &TcpStream) -> Option<IpAddr> {
        // The address of a connection that has broken since is of no use.
        stream.peer_addr().ok().map(|a| a.ip())
    }

    fn limit_send_buffers(&self, bytes: usize) -> io::Result<()> {
        // Accepted sockets inherit the size.
        SockRef::from(&self.inner).set_send_buffer_size(bytes)
    }

    fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }
}
