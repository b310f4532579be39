//! A connection to a target, direct or through another node.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::tunnel::TunnelStream;

/// A byte stream to a target.
pub(crate) enum TargetStream<S> {
    Direct(S),
    Tunnel {
        stream: TunnelStream<S>,
        /// Incarnation of the node that provides the tunnel.
        peer: u64,
    },
}

impl<S> TargetStream<S> {
    /// The node that provides the tunnel, if it is one.
    pub(crate) fn peer(&self) -> Option<u64> {
        match self {
            Self::Direct(_) => None,
            Self::Tunnel { peer, .. } => Some(*peer),
        }
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncRead for TargetStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match &mut *self {
            Self::Direct(stream) => Pin::new(stream).poll_read(cx, buf),
            Self::Tunnel { stream, .. } => Pin::new(stream).poll_read(cx, buf),
        }
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for TargetStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match &mut *self {
            Self::Direct(stream) => Pin::new(stream).poll_write(cx, buf),
            Self::Tunnel { stream, .. } => Pin::new(stream).poll_write(cx, buf),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut *self {
            Self::Direct(stream) => Pin::new(stream).poll_flush(cx),
            Self::Tunnel { stream, .. } => Pin::new(stream).poll_flush(cx),
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut *self {
            Self::Direct(stream) => Pin::new(stream).poll_shutdown(cx),
            Self::Tunnel { stream, .. } => Pin::new(stream).poll_shutdown(cx),
        }
    }
}
