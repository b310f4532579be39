//! Finds soon that the store has come back from an older copy.
//!
//! Answers the pattern of a watch whose connection went silent with the store that took it: the watch shows that only
//! when its time is over, two seconds later, while what the store has lost is to be written again within one.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_platform::PlatformStore;
use tokio::sync::watch;

/// Time between two probes; each costs a tenth of a call.
const INTERVAL: Duration = Duration::from_millis(400);

/// Longest wait for the answer: with the interval, what is lost is known of within 0.7 s.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Asks the store which copy answers, while `enabled`, for ever; ends when nobody enables it any more. The client
/// tells all who use it.
pub(super) async fn probe_era<N: Network>(
    store: PlatformStore<N>,
    mut enabled: watch::Receiver<bool>,
) {
    while enabled.wait_for(|on| *on).await.is_ok() {
        if let Err(e) = store.probe(TIMEOUT).await {
            // The watch tells where the store does not answer.
            tracing::debug!(part = "control", error = %e, "era not known");
        }
        tokio::time::sleep(INTERVAL).await;
    }
}
