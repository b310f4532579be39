//! Network abstraction: TCP in production, in-memory duplex streams in tests with a paused clock.

mod accept;
mod tcp;

use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};

use tokio::io::{AsyncRead, AsyncWrite};

pub use accept::accept;
pub use tcp::{TcpListener, TcpNetwork};

/// Opens and accepts byte streams.
pub trait Network: Clone + Send + Sync + 'static {
    /// A connection, opened or accepted.
    type Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static;
    /// A bound listener.
    type Listener: Listener<Stream = Self::Stream>;

    /// Opens a connection.
    ///
    /// # Errors
    /// Returns an error if nothing listens at the address or the host can't be reached.
    fn connect(&self, addr: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>> + Send;

    /// Binds a listener; port 0 selects a free port.
    ///
    /// # Errors
    /// Returns an error if the address is in use or does not belong to this host.
    fn bind(&self, addr: SocketAddr) -> impl Future<Output = io::Result<Self::Listener>> + Send;
}

/// Accepts connections.
pub trait Listener: Send + 'static {
    /// An accepted connection.
    type Stream;

    /// Waits for the next connection.
    ///
    /// # Errors
    /// Returns an error if the process is out of file descriptors or the listener is closed.
    fn accept(&mut self) -> impl Future<Output = io::Result<Self::Stream>> + Send;

    /// Returns the IP address from which a connection was opened; `None` if it is unknown.
    fn peer_ip(stream: &Self::Stream) -> Option<IpAddr>;

    /// Limits the bytes of each accepted connection that the operating system buffers for a peer that does not read. Has
    /// no effect on a network without such buffers.
    ///
    /// # Errors
    /// Returns an error if the operating system refuses the limit.
    fn limit_send_buffers(&self, bytes: usize) -> io::Result<()> {
        let _ = bytes;
        Ok(())
    }

    /// The bound address.
    fn local_addr(&self) -> SocketAddr;
}
