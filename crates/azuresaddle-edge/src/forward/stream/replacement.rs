//! Finds other targets for a stream whose target is silent.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::Relay;
use super::placement::Placement;

/// Pause before the next search, while no target or no retry is left.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

impl<N: Network> Relay<N> {
    /// Waits until `silent_at`, then for other targets that may take over from `silent`, and takes a retry for them.
    ///
    /// A silent target may be sound and go on, so its answer is kept until this succeeds. Never returns if the request must
    /// not be sent again.
    pub(super) async fn replacement(&self, silent: &HostName, silent_at: Instant) -> Placement<N> {
        tokio::time::sleep_until(silent_at).await;
        tracing::info!(
            part = "forward",
            request = self.req.head.id(),
            target = %silent,
            last_event = self.last_relayed_id,
            runs = self.runs,
            age_ms = self.req.arrived.elapsed().as_millis() as u64,
            "target is silent"
        );
        if !self.may_run_after(self.runs + 1) {
            std::future::pending::<()>().await;
        }
        let exclude = [&self.exclude[..], std::slice::from_ref(silent)].concat();
        loop {
            if let Some(placement) = self.try_replace(&exclude).await {
                return placement;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Other targets and a retry for them, if there are any now.
    async fn try_replace(&self, exclude: &[HostName]) -> Option<Placement<N>> {
        let service = &self.req.service;
        if !self.cx.has_retry(service) {
            return None;
        }
        let placement = self.place_unless_quarantined(exclude).await.ok()?;
        // Another request may have taken the last retry meanwhile.
        self.cx.try_take_retry(service).then_some(placement)
    }
}
