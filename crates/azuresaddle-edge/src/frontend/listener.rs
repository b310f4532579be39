//! Accepts connections of callers.

use std::sync::Arc;

use azuresaddle_core::net::accept;
use azuresaddle_core::prelude::*;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use super::connection::serve_connection;
use super::service::CallerService;

/// Most connections of callers. The smallest hosts have 4,100 file descriptors, of which 200 are not for sockets; the
/// rest is for connections to targets and other nodes.
pub(super) const MAX_CONNECTIONS: usize = 2800;

/// Send buffer of a caller's connection in the operating system, which doubles it. By default it grows to megabytes for a
/// caller that does not read, beyond the byte budget, and hides for longer that the caller has stopped. One answer still
/// reaches 5 MB/s over a round trip of 6 ms, twice the link of the smallest hosts.
const SEND_BUFFER_BYTES: usize = 32 << 10;

/// Accepts and serves connections until the spawner is killed or `closed` is cancelled.
pub(crate) fn serve_callers<N, L>(
    mut listener: L,
    spawner: &Spawner,
    service: Arc<CallerService<N>>,
    closed: CancellationToken,
) where
    N: Network,
    L: Listener,
    L::Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    if let Err(e) = listener.limit_send_buffers(SEND_BUFFER_BYTES) {
        tracing::warn!(part = "frontend", error = %e, "can't limit send buffers");
    }
    let tasks = spawner.clone();
    spawner.spawn_essential("listener for callers", async move {
        let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
                return;
            };
            let stream = tokio::select! {
                () = closed.cancelled() => break,
                stream = accept(&mut listener) => stream,
            };
            let service = Arc::clone(&service);
            tasks.spawn(async move {
                serve_connection(stream, service).await;
                drop(slot);
            });
        }
        drop(listener);
        // The node stops on purpose, so the end of this task would be no failure.
        std::future::pending::<()>().await;
    });
}
