//! Network interface of one host of an in-memory network.

use std::io;
use std::net::{IpAddr, SocketAddr};

use azuresaddle_core::prelude::*;
use tokio::sync::mpsc;

use super::fabric::Fabric;
use super::stream::MemoryStream;

/// The network of one host.
#[derive(Clone, Debug)]
pub struct MemoryNetwork {
    fabric: Fabric,
    ip: IpAddr,
}

/// A bound listener.
#[derive(Debug)]
pub struct MemoryListener {
    addr: SocketAddr,
    rx: mpsc::UnboundedReceiver<MemoryStream>,
}

impl MemoryNetwork {
    pub(super) fn new(fabric: Fabric, ip: IpAddr) -> Self {
        Self { fabric, ip }
    }
}

impl Network for MemoryNetwork {
    type Stream = MemoryStream;
    type Listener = MemoryListener;

    async fn connect(&self, addr: SocketAddr) -> io::Result<MemoryStream> {
        if self.fabric.is_cut(self.ip, addr.ip()) {
            std::future::pending::<()>().await;
        }
        tokio::task::yield_now().await;
        self.fabric
            .open(self.ip, addr)
            .ok_or_else(|| io::ErrorKind::ConnectionRefused.into())
    }

    async fn bind(&self, addr: SocketAddr) -> io::Result<MemoryListener> {
        let (addr, rx) = self.fabric.listen(addr).ok_or(io::ErrorKind::AddrInUse)?;
        Ok(MemoryListener { addr, rx })
    }
}

impl Listener for MemoryListener {
    type Stream = MemoryStream;

    async fn accept(&mut self) -> io::Result<MemoryStream> {
        let accepted = self.rx.recv().await;
        accepted.ok_or_else(|| io::ErrorKind::BrokenPipe.into())
    }

    fn peer_ip(_: &MemoryStream) -> Option<IpAddr> {
        None
    }

    fn local_addr(&self) -> SocketAddr {
        self.addr
    }
}
