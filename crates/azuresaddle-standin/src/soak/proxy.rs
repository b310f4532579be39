//! A loopback proxy that delays, cuts or silences what passes.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes that are passed on at a time.
const CHUNK_BYTES: usize = 16 << 10;

/// Time between two looks whether something listens upstream again.
const UPSTREAM_POLL: Duration = Duration::from_millis(20);

/// Time for which a proxy whose upstream has ended takes no connection while the ones that it has still stand, as
/// the port of a process that ends is closed when its connections break.
const CLOSE_DELAY: Duration = Duration::from_millis(10);

/// What the proxy does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyMode {
    /// Passes everything on.
    Pass,
    /// Passes everything on later.
    Delay(Duration),
    /// Passes nothing on, either way.
    Silent,
    /// Passes requests on, but no answers.
    SilentAnswers,
    /// Breaks all connections and takes no new ones.
    Reset,
}

/// A running proxy.
pub struct Proxy {
    /// Where it listens.
    pub addr: SocketAddr,
    mode: watch::Sender<ProxyMode>,
}

impl Proxy {
    /// Starts a proxy to `upstream`.
    ///
    /// # Errors
    /// Where no port is free.
    pub async fn spawn(upstream: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        let mode = watch::Sender::new(ProxyMode::Pass);
        tokio::spawn(accept(listener, upstream, mode.subscribe()));
        Ok(Self { addr, mode })
    }

    /// Changes what the proxy does, for open connections too.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }
}

/// Takes connections while something listens upstream, and refuses them while nothing does.
async fn accept(
    mut listener: TcpListener,
    upstream: SocketAddr,
    modes: watch::Receiver<ProxyMode>,
) {
    let Ok(addr) = listener.local_addr() else {
        return;
    };
    let is_open = watch::Sender::new(true);
    let mut opened = is_open.subscribe();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { return };
                tokio::spawn(serve(stream, upstream, modes.clone(), is_open.clone()));
                continue;
            }
            // The sender lives here.
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

/// Serves one connection; closes the proxy first where the upstream has ended under it.
async fn serve(
    mut stream: TcpStream,
    upstream: SocketAddr,
    modes: watch::Receiver<ProxyMode>,
    is_open: watch::Sender<bool>,
) {
    relay(&mut stream, upstream, modes).await;
    if TcpStream::connect(upstream).await.is_err() {
        is_open.send_replace(false);
        tokio::time::sleep(CLOSE_DELAY).await;
    }
}

async fn relay(stream: &mut TcpStream, upstream: SocketAddr, modes: watch::Receiver<ProxyMode>) {
    if *modes.borrow() == ProxyMode::Reset {
        return;
    }
    let Ok(mut target) = TcpStream::connect(upstream).await else {
        return;
    };
    // An unset option only delays bytes.
    let _ = stream.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (from_caller, to_caller) = stream.split();
    let (from_target, to_target) = target.split();
    let mut reset = modes.clone();
    tokio::select! {
        () = pass(from_caller, to_target, modes.clone(), false) => {}
        () = pass(from_target, to_caller, modes, true) => {}
        // The connection breaks when it is dropped.
        _ = reset.wait_for(|m| *m == ProxyMode::Reset) => {}
    }
}

/// Passes one direction on until it ends.
async fn pass(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut modes: watch::Receiver<ProxyMode>,
    is_answer: bool,
) {
    let mut buf = vec![0; CHUNK_BYTES];
    while let Ok(len) = from.read(&mut buf).await {
        if len == 0 {
            break;
        }
        let mode = *modes.borrow_and_update();
        let is_silent =
            mode == ProxyMode::Silent || (mode == ProxyMode::SilentAnswers && is_answer);
        if is_silent {
            // A connection that lost bytes stays silent for good.
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
