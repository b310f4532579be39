//! Opens tunnels and reads the frames of their answers.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use azuresaddle_core::prelude::*;
use bytes::{Buf, Bytes};
use futures::{SinkExt, Stream, StreamExt};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::messages::{FramedStream, TunnelReply, TunnelRequest, framed};

/// A node provides no tunnel to a target.
#[derive(Debug, Error)]
pub(crate) enum TunnelError {
    /// The target refuses the node's connections as well.
    #[error("the target refused the connection")]
    Refused,
    /// The node does not reach the target, or provides no tunnels.
    #[error("no tunnel available")]
    Unavailable,
    /// The connection to the node failed.
    #[error("the tunnel broke: {0}")]
    Broken(#[from] io::Error),
}

/// Opens a tunnel to a target through the node that accepts tunnels at `peer`.
///
/// # Errors
/// If the node does not provide one.
pub(crate) async fn open_tunnel<N: Network>(
    net: &N,
    peer: SocketAddr,
    target: &HostName,
) -> Result<TunnelStream<N::Stream>, TunnelError> {
    let mut stream = framed(net.connect(peer).await?);
    let request = TunnelRequest {
        target: target.clone(),
    };
    let request = postcard::to_stdvec(&request).map_err(io::Error::other)?;
    stream.send(Bytes::from(request)).await?;
    let reply = stream.next().await;
    let reply = reply.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))??;
    match postcard::from_bytes(&reply).map_err(io::Error::other)? {
        TunnelReply::Open => Ok(TunnelStream {
            inner: stream,
            chunk: Bytes::new(),
            is_ended: false,
        }),
        TunnelReply::Refused => Err(TunnelError::Refused),
        TunnelReply::NoAnswer | TunnelReply::Unavailable => Err(TunnelError::Unavailable),
    }
}

/// The near end of a tunnel.
#[derive(Debug)]
pub(crate) struct TunnelStream<S> {
    inner: FramedStream<S>,
    /// Received bytes of the target that were not read yet.
    chunk: Bytes,
    /// Whether the target has closed its side.
    is_ended: bool,
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncRead for TunnelStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.chunk.is_empty() && !self.is_ended {
            let frame = ready!(Pin::new(&mut self.inner).poll_next(cx));
            // The tunnel broke unless an empty frame came first.
            let frame = frame.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))??;
            self.is_ended = frame.is_empty();
            self.chunk = frame.freeze();
        }
        let count = self.chunk.len().min(buf.remaining());
        buf.put_slice(&self.chunk[..count]);
        self.chunk.advance(count);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for TunnelStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.inner.get_mut()).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.inner.get_mut()).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.inner.get_mut()).poll_shutdown(cx)
    }
}
