//! Reads and watches the platform's store.

use std::time::Duration;

use azuresaddle_core::bounded_time::scaled;
use azuresaddle_core::prelude::*;
use azuresaddle_platform::{Freshness, PlatformStore, StoreEra, StoreError, StorePosition};
use rand::Rng;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::read_plan::ReadPlan;
use super::read_progress::{ReadProgress, next_event};
use super::start_delay::StartDelay;
use super::store_event::StoreEvent;

/// Initial backoff after a failed call.
pub(super) const FIRST_BACKOFF: Duration = Duration::from_millis(150);

/// Maximum backoff after failed calls.
pub(super) const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Reads the complete store, then watches it as long as `plan` has an interval. Returns once nobody
/// receives the events or can enable the watch.
pub(super) async fn watch_store<N: Network>(
    store: PlatformStore<N>,
    mut plan: watch::Receiver<ReadPlan>,
    cpu_share: f64,
    tx: mpsc::Sender<StoreEvent>,
) {
    let start = StartDelay::new(Instant::now(), cpu_share);
    let mut progress = ReadProgress::start(Freshness::MayBeStale);
    let mut is_first_listing = true;
    let mut era = store.subscribe_era();
    let mut is_unreachable = false;
    let mut backoff = FIRST_BACKOFF;
    while !tx.is_closed() {
        if is_first_listing {
            let has_first_page = progress.has_first_page();
            if start.wait(&mut plan, has_first_page).await.is_err() {
                return;
            }
        }
        let is_provided = is_first_listing && plan.borrow().is_provided();
        is_first_listing &= !is_provided;
        if !is_first_listing {
            let Ok(position) = wait_until_enabled(&mut plan).await else {
                return;
            };
            if is_provided {
                progress = ReadProgress::Watching(position);
            }
        }
        let mut provided = plan.clone();
        let mut later = era.clone();
        let result = tokio::select! {
            result = next_event(&store, &mut progress) => result,
            // A watch that was started before the rollback may never be answered.
            Ok(()) = wait_for_later_era(&mut later) => Err(StoreError::RolledBack),
            // The answer would only take bandwidth from nodes that still need it.
            Ok(_) = provided.wait_for(ReadPlan::is_provided), if is_first_listing => continue,
        };
        if let Some(era) = take_later_era(&mut era)
            && tx.send(StoreEvent::Era(era)).await.is_err()
        {
            return;
        }
        let event = match result {
            Ok(event) => {
                backoff = FIRST_BACKOFF;
                if is_unreachable && tx.send(StoreEvent::Reconnected).await.is_err() {
                    return;
                }
                is_unreachable = false;
                event
            }
            Err(StoreError::Compacted | StoreError::RolledBack) => {
                progress = ReadProgress::start(Freshness::Latest);
                continue;
            }
            Err(StoreError::Unreadable(reason)) => {
                tracing::warn!(
                    part = "control",
                    reason,
                    "store changes could not be read; listing again"
                );
                progress = ReadProgress::start(Freshness::Latest);
                tokio::time::sleep(jittered(FIRST_BACKOFF)).await;
                continue;
            }
            Err(e) => {
                progress.on_failure();
                tokio::time::sleep(jittered(backoff)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
                if is_unreachable {
                    continue;
                }
                is_unreachable = true;
                StoreEvent::Unreachable {
                    reason: e.to_string(),
                }
            }
        };
        is_first_listing &= !matches!(event, StoreEvent::Listing { .. });
        if tx.send(event).await.is_err() {
            return;
        }
        let interval = plan.borrow().watch_interval;
        if let Some(interval) = interval
            && progress.is_watching()
        {
            tokio::time::sleep(interval).await;
        }
    }
}

/// Waits until this node should watch the store; returns the position that it knows then.
async fn wait_until_enabled(
    plan: &mut watch::Receiver<ReadPlan>,
) -> Result<StorePosition, watch::error::RecvError> {
    let enabled = plan.wait_for(|p| p.watch_interval.is_some()).await?;
    Ok(enabled.position)
}

/// Waits until an answer to any call reveals a later era than the one last read.
async fn wait_for_later_era(
    era: &mut watch::Receiver<Option<StoreEra>>,
) -> Result<(), watch::error::RecvError> {
    let known = *era.borrow();
    match known {
        Some(known) => era
            .wait_for(|e| e.is_some_and(|e| e > known))
            .await
            .map(|_| ()),
        // The first known era is not a change.
        None => std::future::pending().await,
    }
}

/// Returns the era if an answer to any call has revealed a later one.
fn take_later_era(era: &mut watch::Receiver<Option<StoreEra>>) -> Option<StoreEra> {
    let has_changed = era.has_changed().unwrap_or(false);
    has_changed.then(|| *era.borrow_and_update()).flatten()
}

/// Returns a random duration between half and all of a pause, so that nodes do not call in step.
pub(super) fn jittered(pause: Duration) -> Duration {
    scaled(pause, rand::rng().random_range(0.5..1.0))
}
