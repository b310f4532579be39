//! Connections of an in-memory network.

use std::io;
use std::net::IpAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Waker};

use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf};

/// Buffer size of a connection in each direction, in bytes.
const BUFFER_BYTES: usize = 64 << 10;

/// State that both ends of a connection share.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) hosts: (IpAddr, IpAddr),
    silent: AtomicBool,
    readers: Mutex<Vec<Waker>>,
    /// Number of bytes written on the whole network.
    bytes: Arc<AtomicU64>,
}

impl Link {
    pub(super) fn new(hosts: (IpAddr, IpAddr), bytes: Arc<AtomicU64>) -> Self {
        Self {
            bytes,
            hosts,
            silent: AtomicBool::new(false),
            readers: Mutex::new(Vec::new()),
        }
    }

    /// Silences the connection in both directions: no more data and no end of file arrive.
    pub(super) fn silence(&self) {
        self.silent.store(true, Ordering::SeqCst);
    }

    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::SeqCst)
    }

    /// Stores the waker of a pending read, which would otherwise be dropped and leave the task without a waker.
    fn store_waker(&self, waker: &Waker) {
        let mut readers = self.readers.lock().unwrap_or_else(PoisonError::into_inner);
        if !readers.iter().any(|known| known.will_wake(waker)) {
            readers.push(waker.clone());
        }
    }
}

/// One end of a connection.
#[derive(Debug)]
pub struct MemoryStream {
    /// Half of the pipe; leaked on drop if the link is silent, so that the other end sees no end of file.
    /// `None` only during the drop.
    inner: Option<DuplexStream>,
    link: Arc<Link>,
}

impl MemoryStream {
    pub(super) fn pair(link: &Arc<Link>) -> (Self, Self) {
        let (a, b) = tokio::io::duplex(BUFFER_BYTES);
        let end = |inner| Self {
            inner: Some(inner),
            link: Arc::clone(link),
        };
        (end(a), end(b))
    }

    fn inner(&mut self) -> Pin<&mut DuplexStream> {
        Pin::new(self.inner.as_mut().expect("present until dropped"))
    }
}

impl Drop for MemoryStream {
    fn drop(&mut self) {
        if self.link.is_silent() {
            // The other end must not see an end of file; the memory of the pipe is leaked.
            std::mem::forget(self.inner.take());
        }
    }
}

impl AsyncRead for MemoryStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.link.is_silent() {
            self.link.store_waker(cx.waker());
            return Poll::Pending;
        }
        self.inner().poll_read(cx, buf)
    }
}

impl AsyncWrite for MemoryStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.link.is_silent() {
            // Discards the data; a real sender does not notice either, until its buffers are full.
            return Poll::Ready(Ok(buf.len()));
        }
        let written = self.inner().poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = written {
            self.link.bytes.fetch_add(count as u64, Ordering::Relaxed);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.link.is_silent() {
            return Poll::Ready(Ok(()));
        }
        self.inner().poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.link.is_silent() {
            return Poll::Ready(Ok(()));
        }
        self.inner().poll_shutdown(cx)
    }
}
