//! A TCP network whose host can lose its paths to some addresses.

use std::collections::HashSet;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use azuresaddle_core::net::{TcpListener, TcpNetwork};
use azuresaddle_core::prelude::*;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

/// How a host that has lost its paths notices it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathLoss {
    /// Open connections are reset and new ones refused.
    Reset,
    /// Open connections and attempts to open one get no answer.
    Silent,
    /// Open connections live on and new ones are refused.
    OnlyNewRefused,
}

/// The network of one host, which can be partitioned from a set of addresses.
#[derive(Clone)]
pub struct PartitionedNetwork {
    state: Arc<Mutex<State>>,
}

struct State {
    addrs: HashSet<SocketAddr>,
    loss: Option<PathLoss>,
    /// Cancelled when the connections that are open now are reset.
    reset: CancellationToken,
    /// Cancelled when the connections that are open now fall silent for good.
    silenced: CancellationToken,
}

impl PartitionedNetwork {
    /// Creates a network that can be partitioned from `addrs`.
    pub fn new(addrs: impl IntoIterator<Item = SocketAddr>) -> Self {
        let state = State {
            addrs: addrs.into_iter().collect(),
            loss: None,
            reset: CancellationToken::new(),
            silenced: CancellationToken::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Cuts the paths.
    pub fn cut(&self, loss: PathLoss) {
        let mut state = self.lock();
        state.loss = Some(loss);
        match loss {
            PathLoss::Reset => std::mem::take(&mut state.reset).cancel(),
            PathLoss::Silent => std::mem::take(&mut state.silenced).cancel(),
            PathLoss::OnlyNewRefused => {}
        }
    }

    /// Restores the paths. Connections that have fallen silent stay so.
    pub fn heal(&self) {
        self.lock().loss = None;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Network for PartitionedNetwork {
    type Stream = PartitionedStream;
    type Listener = PartitionedListener;

    async fn connect(&self, addr: SocketAddr) -> io::Result<PartitionedStream> {
        let (loss, reset, silenced) = {
            let state = self.lock();
            let loss = state.loss.filter(|_| state.addrs.contains(&addr));
            (loss, state.reset.clone(), state.silenced.clone())
        };
        match loss {
            None => {}
            Some(PathLoss::Silent) => pending().await,
            Some(PathLoss::Reset | PathLoss::OnlyNewRefused) => {
                return Err(io::ErrorKind::ConnectionRefused.into());
            }
        }
        let inner = TcpNetwork.connect(addr).await?;
        let is_partitioned = self.lock().addrs.contains(&addr);
        let path = is_partitioned.then(|| Path {
            reset: Box::pin(reset.cancelled_owned()),
            silenced,
        });
        Ok(PartitionedStream { inner, path })
    }

    async fn bind(&self, addr: SocketAddr) -> io::Result<PartitionedListener> {
        TcpNetwork.bind(addr).await.map(PartitionedListener)
    }
}

/// A listener, which no partition affects.
pub struct PartitionedListener(TcpListener);

impl Listener for PartitionedListener {
    type Stream = PartitionedStream;

    async fn accept(&mut self) -> io::Result<PartitionedStream> {
        let inner = self.0.accept().await?;
        Ok(PartitionedStream { inner, path: None })
    }

    fn peer_ip(stream: &PartitionedStream) -> Option<std::net::IpAddr> {
        TcpListener::peer_ip(&stream.inner)
    }

    fn limit_send_buffers(&self, bytes: usize) -> io::Result<()> {
        self.0.limit_send_buffers(bytes)
    }

    fn local_addr(&self) -> SocketAddr {
        self.0.local_addr()
    }
}

/// A connection of a [`PartitionedNetwork`].
pub struct PartitionedStream {
    inner: TcpStream,
    /// The path that can be cut; `None` if no partition affects the connection.
    path: Option<Path>,
}

struct Path {
    reset: Pin<Box<WaitForCancellationFutureOwned>>,
    silenced: CancellationToken,
}

impl PartitionedStream {
    /// Whether the connection has fallen silent.
    ///
    /// # Errors
    /// If it was reset.
    fn poll_path(&mut self, cx: &mut Context<'_>) -> io::Result<bool> {
        let Some(path) = &mut self.path else {
            return Ok(false);
        };
        if pin!(&mut path.reset).poll(cx).is_ready() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(path.silenced.is_cancelled())
    }
}

impl AsyncRead for PartitionedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.poll_path(cx)? {
            return Poll::Pending;
        }
        let mut part = ReadBuf::new(buf.initialize_unfilled());
        ready!(Pin::new(&mut self.inner).poll_read(cx, &mut part))?;
        let count = part.filled().len();
        // The path may have been cut since this read began to wait.
        if self.poll_path(cx)? {
            return Poll::Pending;
        }
        buf.advance(count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for PartitionedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.poll_path(cx)? {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
