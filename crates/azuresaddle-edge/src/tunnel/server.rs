//! Provides tunnels to other nodes.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use azuresaddle_core::net::accept;
use azuresaddle_core::prelude::*;
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, split};
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::codec::FramedWrite;
use tokio_util::sync::CancellationToken;

use super::messages::{FramedStream, MAX_FRAME_BYTES, TunnelReply, TunnelRequest, framed};
use crate::forward::InFlightAnswers;
use crate::metrics::Metrics;
use crate::snapshot::Snapshots;
use crate::targets::SharedPaths;

/// Most tunnels at a time. Each takes two connections and two buffers.
const MAX_TUNNELS: usize = 256;

/// Longest wait for the request on a new connection.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for a connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest time for which the target may take no bytes.
const MAX_WRITE_PAUSE: Duration = Duration::from_secs(2);

/// Time for the other node to read the end of an answer and close the connection.
const CLOSE_TIME: Duration = Duration::from_secs(1);

/// Provides tunnels to the targets that this node reaches itself.
pub(crate) struct TunnelServer<N> {
    pub(crate) net: N,
    pub(crate) snapshots: Snapshots,
    pub(crate) paths: SharedPaths,
    pub(crate) metrics: Metrics,
    /// Counts open tunnels, since a stopping node waits for them like for its own answers.
    pub(crate) in_flight: InFlightAnswers,
    /// Cancelled when the node stops.
    pub(crate) leaving: CancellationToken,
}

/// Accepts requests for tunnels until the spawner is killed.
pub(crate) fn serve_tunnels<N: Network>(
    mut listener: N::Listener,
    spawner: &Spawner,
    server: TunnelServer<N>,
) {
    let tasks = spawner.clone();
    let server = Arc::new(server);
    let slots = Arc::new(Semaphore::new(MAX_TUNNELS));
    spawner.spawn_essential("listener for tunnels", async move {
        loop {
            let stream = accept(&mut listener).await;
            let server = Arc::clone(&server);
            let slots = Arc::clone(&slots);
            tasks.spawn(async move {
                let slot = slots.try_acquire();
                if let Err(e) = server.serve(stream, slot.is_ok()).await {
                    tracing::debug!(part = "tunnel", error = %e, "tunnel broke");
                }
            });
        }
    });
}

impl<N: Network> TunnelServer<N> {
    async fn serve(&self, stream: N::Stream, has_slot: bool) -> io::Result<()> {
        let mut near = framed(stream);
        let request = timeout(REQUEST_TIMEOUT, near.next()).await?;
        let request = request.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))??;
        let request: TunnelRequest = postcard::from_bytes(&request).map_err(io::Error::other)?;
        let connected = if has_slot && !self.leaving.is_cancelled() {
            self.connect(&request.target).await
        } else {
            Err(TunnelReply::Unavailable)
        };
        let reply = connected.as_ref().err().copied();
        let reply = reply.unwrap_or(TunnelReply::Open);
        self.metrics.on_tunnel_requested(reply.label());
        let reply = postcard::to_stdvec(&reply).map_err(io::Error::other)?;
        near.send(Bytes::from(reply)).await?;
        let Ok(far) = connected else {
            return Ok(());
        };
        let _in_flight = self.in_flight.begin();
        copy(near, far).await
    }

    /// Connects to a target directly.
    async fn connect(&self, target: &HostName) -> Result<N::Stream, TunnelReply> {
        // A node that is cut off itself would tell that the target is down.
        if self.paths.is_cut_off() {
            return Err(TunnelReply::Unavailable);
        }
        let snapshot = self.snapshots.load();
        let Some(entry) = snapshot.targets.get(target) else {
            return Err(TunnelReply::Unavailable);
        };
        match timeout(CONNECT_TIMEOUT, self.net.connect(entry.addr)).await {
            Ok(Ok(stream)) => {
                self.paths.on_connected(target);
                Ok(stream)
            }
            // Failures are not recorded: the targets that other nodes ask for are mostly those that are down.
            Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => Err(TunnelReply::Refused),
            Ok(Err(_)) | Err(_) => Err(TunnelReply::NoAnswer),
        }
    }
}

/// Copies bytes both ways until either side ends.
pub(super) async fn copy<S, T>(near: FramedStream<S>, far: T) -> io::Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin,
    T: AsyncRead + AsyncWrite + Unpin,
{
    let near = near.into_parts();
    let (near_rx, near_tx) = split(near.io);
    let (far_rx, far_tx) = split(far);
    let frames = FramedWrite::new(near_tx, near.codec);
    let is_reset = AtomicBool::new(false);
    let mut upload = std::pin::pin!(upload(near_rx, far_tx, &is_reset));
    tokio::select! {
        // The other node has closed the tunnel, which closes the connection to the target.
        () = &mut upload => Ok(()),
        downloaded = download(far_rx, frames, &is_reset) => {
            downloaded?;
            // Closing a connection with unread bytes would reset it, and the end of the answer could be lost.
            let _ = timeout(CLOSE_TIME, upload).await;
            Ok(())
        }
    }
}

/// Copies the other node's bytes to the target until that node closes the tunnel. Bytes that the target no longer takes
/// are dropped, since it may have answered already. Sets `is_reset` if a write meets a reset.
async fn upload(
    mut near: impl AsyncRead + Unpin,
    mut far: impl AsyncWrite + Unpin,
    is_reset: &AtomicBool,
) {
    let mut buf = vec![0; MAX_FRAME_BYTES];
    let mut is_taken = true;
    while let Ok(count @ 1..) = near.read(&mut buf).await {
        if is_taken {
            let written = timeout(MAX_WRITE_PAUSE, far.write_all(&buf[..count])).await;
            is_taken = matches!(written, Ok(Ok(())));
            // A broken pipe means that the target has closed its side in order, before it refused the bytes.
            let failure = written.ok().and_then(Result::err);
            if failure.is_some_and(|e| e.kind() != io::ErrorKind::BrokenPipe) {
                is_reset.store(true, Ordering::Relaxed);
            }
        }
    }
}

/// Copies the target's bytes to the other node, and an empty frame once the target has closed its side.
///
/// The system reports a reset once, to a write or to a read, and later reads see the end of the bytes. That end is not the
/// target's if `is_reset`, and gets no frame.
async fn download<W: AsyncWrite + Unpin>(
    mut far: impl AsyncRead + Unpin,
    mut frames: FramedWrite<W, tokio_util::codec::LengthDelimitedCodec>,
    is_reset: &AtomicBool,
) -> io::Result<()> {
    let mut buf = vec![0; MAX_FRAME_BYTES];
    loop {
        let count = far.read(&mut buf).await?;
        if count == 0 && is_reset.load(Ordering::Relaxed) {
            return frames.get_mut().shutdown().await;
        }
        frames.send(Bytes::copy_from_slice(&buf[..count])).await?;
        if count == 0 {
            return Ok(());
        }
    }
}
