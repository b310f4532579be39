//! A byte stream that limits single reads and records the progress of writes.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::WriteProgress;

/// Most bytes that one read returns. The HTTP library doubles its read buffer of 8 KB whenever a read fills it, and keeps
/// the larger buffer; reads that never fill it keep the memory of each connection fixed.
const MAX_READ_BYTES: usize = (8 << 10) - 1;

/// A byte stream that limits single reads and records the progress of writes in a [`WriteProgress`].
#[derive(Debug)]
pub(crate) struct MeteredStream<S> {
    stream: S,
    progress: WriteProgress,
}

impl<S> MeteredStream<S> {
    pub(crate) fn new(stream: S, progress: WriteProgress) -> Self {
        Self { stream, progress }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let most = buf.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(most));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let count = part.filled().len();
        buf.advance(count);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, progress } = &mut *self;
        progress.record_write(|| Pin::new(stream).poll_write(cx, buf))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, progress } = &mut *self;
        progress.record_write(|| Pin::new(stream).poll_write_vectored(cx, bufs))
    }
}
