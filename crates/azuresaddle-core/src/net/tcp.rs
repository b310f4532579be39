//! The network of the daemon.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpStream;

use super::{Listener, Network};

/// Real sockets.
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

    fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }
}
