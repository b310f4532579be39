//! Accepts connections whatever fails.

use std::time::Duration;

use super::Listener;

/// Delay after a failed accept, so that the loop does not spin while file descriptors are exhausted.
const BACKOFF: Duration = Duration::from_millis(20);

/// Waits for the next connection. After a failure it goes on, since most causes pass: a process without free file
/// descriptors gets some back.
pub async fn accept<L: Listener>(listener: &mut L) -> L::Stream {
    let mut failures = 0_u64;
    loop {
        match listener.accept().await {
            Ok(stream) => {
                if failures > 0 {
                    let addr = listener.local_addr();
                    tracing::info!(part = "net", %addr, failures, "accepts connections again");
                }
                return stream;
            }
            Err(e) => {
                if failures == 0 {
                    let addr = listener.local_addr();
                    tracing::warn!(part = "net", %addr, error = %e, "can't accept connections");
                }
                failures += 1;
                tokio::time::sleep(BACKOFF).await;
            }
        }
    }
}
