//! When a node that has just started reads the store.
//!
//! If all nodes of a large fleet read it at once, the store's link is full for seconds, and hardly any of
//! them gets an answer in time.

use std::time::Duration;

use azuresaddle_core::bounded_time::scaled;
use rand::Rng;
use tokio::sync::watch;
use tokio::sync::watch::error::RecvError;
use tokio::time::Instant;

use super::read_plan::ReadPlan;

/// Time after the start within which a node that has all targets becomes known: a round trip to the
/// seeds.
const PEER_DISCOVERY: Duration = Duration::from_millis(150);

/// CPU share, in cores, below which a host leaves the store to stronger ones at first.
const WEAK_CPU_SHARE: f64 = 0.2;

/// Time for which a weak host waits for another node that provides the store's content: by then the
/// strong hosts of a fleet that starts as a whole have read it and are known.
const WEAK_HOST_WAIT: Duration = Duration::from_millis(450);

/// Additional time over which weak hosts spread their first calls, in case there is no strong one.
const WEAK_HOST_SPREAD: Duration = Duration::from_millis(1000);

/// When a node that has just started may read the store.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartDelay {
    first_page_at: Instant,
    /// When the pages after the first one may be read.
    rest_at: Instant,
}

impl StartDelay {
    pub(super) fn new(started_at: Instant, cpu_share: f64) -> Self {
        let first_page_at = started_at + first_page_delay(cpu_share);
        Self {
            first_page_at,
            rest_at: first_page_at.max(started_at + PEER_DISCOVERY),
        }
    }

    /// Waits until the node may read the first page, or one after it. Returns early if another node
    /// has provided everything.
    ///
    /// # Errors
    /// If the plan's sender is dropped.
    pub(super) async fn wait(
        &self,
        plan: &mut watch::Receiver<ReadPlan>,
        has_first_page: bool,
    ) -> Result<(), RecvError> {
        let read_at = if has_first_page {
            self.rest_at
        } else {
            self.first_page_at
        };
        tokio::select! {
            () = tokio::time::sleep_until(read_at) => {}
            provided = plan.wait_for(ReadPlan::is_provided) => drop(provided?),
        }
        if has_first_page {
            drop(plan.wait_for(ReadPlan::is_decided).await?);
        }
        Ok(())
    }
}

/// Returns the delay of the first page.
fn first_page_delay(cpu_share: f64) -> Duration {
    if cpu_share >= WEAK_CPU_SHARE {
        return Duration::ZERO;
    }
    WEAK_HOST_WAIT + scaled(WEAK_HOST_SPREAD, rand::rng().random())
}
