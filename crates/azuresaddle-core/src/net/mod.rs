//! The network seam: TCP in the daemon, duplex streams in tests on a paused clock.

mod tcp;

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use tokio::io::{AsyncRead, AsyncWrite};

pub use tcp::{TcpListener, TcpNetwork};

/// Opens and accepts byte streams.
pub trait Network: Clone + Send + Sync + 'static {
    /// A connection in either direction.
    type Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static;
    /// A bound listener.
    type Listener: Listener<Stream = Self::Stream>;

    /// Opens a connection.
    ///
    /// # Errors
    /// Where nothing listens at the address or it can't be reached.
    fn connect(&self, addr: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>> + Send;

    /// Binds a listener; port 0 takes a free port.
    ///
    /// # Errors
    /// Where the address is taken or not of this host.
    fn bind(&self, addr: SocketAddr) -> impl Future<Output = io::Result<Self::Listener>> + Send;
}

/// Accepts connections.
pub trait Listener: Send + 'static {
    /// An accepted connection.
    type Stream;

    /// Waits for the next connection.
    ///
    /// # Errors
    /// Where the process is out of descriptors or the listener is gone.
    fn accept(&mut self) -> impl Future<Output = io::Result<Self::Stream>> + Send;

    /// The bound address.
    fn local_addr(&self) -> SocketAddr;
}
