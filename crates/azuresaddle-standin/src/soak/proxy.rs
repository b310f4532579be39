//! A loopback proxy that delays, cuts or silences what passes.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes that are passed on at a time.
const CHUNK: usize = 16 << 10;

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
    SilentBack,
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
        let modes = mode.subscribe();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, upstream, modes.clone()));
            }
        });
        Ok(Self { addr, mode })
    }

    /// Changes what the proxy does, for open connections too.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }
}

async fn serve(stream: TcpStream, upstream: SocketAddr, modes: watch::Receiver<ProxyMode>) {
    if *modes.borrow() == ProxyMode::Reset {
        return;
    }
    let Ok(target) = TcpStream::connect(upstream).await else {
        return;
    };
    // An unset option only delays bytes.
    let _ = stream.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (from_caller, to_caller) = stream.into_split();
    let (from_target, to_target) = target.into_split();
    let mut reset = modes.clone();
    tokio::select! {
        () = pass(from_caller, to_target, modes.clone(), false) => {}
        () = pass(from_target, to_caller, modes, true) => {}
        // Dropping both halves breaks the connection.
        _ = reset.wait_for(|m| *m == ProxyMode::Reset) => {}
    }
}

/// Passes one direction on until it ends.
async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut modes: watch::Receiver<ProxyMode>,
    is_back: bool,
) {
    let mut buf = vec![0; CHUNK];
    while let Ok(len) = from.read(&mut buf).await {
        if len == 0 {
            break;
        }
        let mode = *modes.borrow_and_update();
        let is_silent = mode == ProxyMode::Silent || (mode == ProxyMode::SilentBack && is_back);
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
