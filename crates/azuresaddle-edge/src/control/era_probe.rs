//! Probes the store to detect a rollback to an older copy quickly.
//!
//! Guards against a watch whose connection died together with the store instance that accepted it.
//! The watch only notices when it times out two seconds later, while entries that the store has
//! lost have to be written again within one.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_platform::PlatformStore;
use tokio::sync::watch;

/// Interval between two probes; each costs a tenth of a call.
const INTERVAL: Duration = Duration::from_millis(400);

/// Timeout of a probe: together with the interval, a rollback is detected within 0.7 s.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Queries the store's era while `enabled`, until the sender is dropped. The client passes the era
/// on to all its users.
pub(super) async fn probe_era<N: Network>(
    store: PlatformStore<N>,
    mut enabled: watch::Receiver<bool>,
) {
    while enabled.wait_for(|on| *on).await.is_ok() {
        if let Err(e) = store.probe(TIMEOUT).await {
            // The watch reports a store that does not answer.
            tracing::debug!(part = "control", error = %e, "store era probe failed");
        }
        tokio::time::sleep(INTERVAL).await;
    }
}
