//! A loopback TCP proxy that delays, drops or resets traffic.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Maximum number of bytes forwarded at a time.
const CHUNK_BYTES: usize = 16 << 10;

/// Interval between two checks whether the upstream listens again.
const UPSTREAM_POLL: Duration = Duration::from_millis(20);

/// Time between closing the listener of a proxy whose upstream has ended and breaking a connection. When the
/// connections of a process that ends break, its port is closed already.
const CLOSE_DELAY: Duration = Duration::from_millis(10);

/// Behaviour of the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyMode {
    /// Forwards everything.
    Pass,
    /// Forwards everything with this delay.
    Delay(Duration),
    /// Forwards nothing in either direction, and everything that arrived meanwhile once the mode changes.
    Paused,
    /// Forwards nothing in either direction.
    Silent,
    /// Forwards requests, but no answers.
    SilentAnswers,
    /// Breaks all connections, and each new one at once.
    Reset,
    /// Forwards new connections to another address.
    Divert(SocketAddr),
}

/// A running proxy; clones control the same one.
#[derive(Clone)]
pub struct Proxy {
    /// Address that it listens on.
    pub addr: SocketAddr,
    mode: watch::Sender<ProxyMode>,
    /// Number of times that the open connections became silent.
    silenced: watch::Sender<u64>,
}

impl Proxy {
    /// Starts a proxy to `upstream`.
    ///
    /// # Errors
    /// Returns an error if no port is free.
    pub async fn spawn(upstream: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        let mode = watch::Sender::new(ProxyMode::Pass);
        let silenced = watch::Sender::new(0);
        let controls = Controls {
            modes: mode.subscribe(),
            silenced: silenced.subscribe(),
        };
        tokio::spawn(accept(listener, upstream, controls));
        Ok(Self {
            addr,
            mode,
            silenced,
        })
    }

    /// Changes the behaviour, for open connections too.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }

    /// Forwards nothing more on the open connections, which stay open; new ones are not affected.
    pub fn silence_open_connections(&self) {
        self.silenced.send_modify(|times| *times += 1);
    }
}

/// What the owner of the proxy has set.
#[derive(Clone)]
struct Controls {
    modes: watch::Receiver<ProxyMode>,
    silenced: watch::Receiver<u64>,
}

/// Accepts connections until the upstream has ended, and refuses them until it listens again.
async fn accept(mut listener: TcpListener, upstream: SocketAddr, controls: Controls) {
    let Ok(addr) = listener.local_addr() else {
        return;
    };
    let is_open = watch::Sender::new(true);
    let mut opened = is_open.subscribe();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { return };
                tokio::spawn(serve(stream, upstream, controls.clone(), is_open.clone()));
                continue;
            }
            // The wait can't fail: `is_open` is the sender and lives as long as this function.
            _ = opened.wait_for(|open| !*open) => {}
        }
        drop(listener);
        while TcpStream::connect(upstream).await.is_err() {
            tokio::time::sleep(UPSTREAM_POLL).await;
        }
        let Ok(bound) = TcpListener::bind(addr).await else {
            return;
        };
        listener = bound;
        is_open.send_replace(true);
    }
}

/// Serves one connection; if the upstream has ended, closes the listener before the connection breaks.
async fn serve(
    mut stream: TcpStream,
    upstream: SocketAddr,
    controls: Controls,
    is_open: watch::Sender<bool>,
) {
    relay(&mut stream, upstream, controls).await;
    if TcpStream::connect(upstream).await.is_err() {
        is_open.send_replace(false);
        tokio::time::sleep(CLOSE_DELAY).await;
    }
}

async fn relay(stream: &mut TcpStream, upstream: SocketAddr, mut controls: Controls) {
    controls.silenced.mark_unchanged();
    let upstream = match *controls.modes.borrow() {
        ProxyMode::Reset => return,
        ProxyMode::Divert(addr) => addr,
        _ => upstream,
    };
    let Ok(mut target) = TcpStream::connect(upstream).await else {
        return;
    };
    // Without this option, bytes are only delayed.
    let _ = stream.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (from_caller, to_caller) = stream.split();
    let (from_target, to_target) = target.split();
    let mut reset = controls.modes.clone();
    tokio::select! {
        () = forward(from_caller, to_target, controls.clone(), false) => {}
        () = forward(from_target, to_caller, controls, true) => {}
        // The connection breaks when it is dropped.
        _ = reset.wait_for(|m| *m == ProxyMode::Reset) => {}
    }
}

/// Forwards one direction until it ends.
async fn forward(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut controls: Controls,
    is_answer: bool,
) {
    let mut buf = vec![0; CHUNK_BYTES];
    while let Ok(len) = from.read(&mut buf).await {
        if len == 0 {
            break;
        }
        // The sender lives as long as the proxy.
        let resumed = controls.modes.wait_for(|m| *m != ProxyMode::Paused).await;
        let Ok(mode) = resumed.map(|m| *m) else { break };
        let is_silent = controls.silenced.has_changed().unwrap_or(false)
            || mode == ProxyMode::Silent
            || (mode == ProxyMode::SilentAnswers && is_answer);
        if is_silent {
            // Bytes are lost, so the connection can't continue and stays silent for good.
            return std::future::pending().await;
        }
        if let ProxyMode::Delay(by) = mode {
            tokio::time::sleep(by).await;
        }
        if to.write_all(&buf[..len]).await.is_err() {
            break;
        }
    }
}
