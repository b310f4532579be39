//! Accepts callers.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use super::connection::serve_connection;
use super::service::CallerService;

/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Most connections of callers: below the descriptors of the smallest hosts (4,100, of which 200
/// are not for sockets), with room for targets and nodes.
const MAX_CONNECTIONS: usize = 2800;

/// Accepts and serves callers until the spawner is killed or `closed` is cancelled.
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
    let tasks = spawner.clone();
    spawner.spawn(async move {
        let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
                return;
            };
            let accepted = tokio::select! {
                () = closed.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let stream = match accepted {
                Ok(stream) => stream,
                Err(e) => {
                    tracing::warn!(part = "frontend", error = %e, "accept failed");
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                    continue;
                }
            };
            let service = Arc::clone(&service);
            tasks.spawn(async move {
                serve_connection(stream, service).await;
                drop(slot);
            });
        }
    });
}
