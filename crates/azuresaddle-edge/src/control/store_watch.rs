//! Follows the platform's store.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_platform::{Item, PlatformStore, StoreError};
use rand::Rng;
use tokio::sync::{mpsc, watch};

/// Longest wait of one watch; a connection that went silent is found after that and a little more.
/// Each watch is a paid call.
const WATCH_WAIT: Duration = Duration::from_millis(1500);

/// First pause after a failed call.
const FIRST_BACKOFF: Duration = Duration::from_millis(150);

/// Longest pause after failed calls.
const MAX_BACKOFF: Duration = Duration::from_millis(1200);

/// Shortest time between two watches, so that quick changes don't turn into a call each.
const MIN_INTERVAL: Duration = Duration::from_millis(40);

/// News of the store.
#[derive(Debug)]
pub(super) enum StoreEvent {
    /// The store answers again, after it did not.
    Back,
    /// The store does not answer.
    Lost {
        /// Why.
        reason: String,
    },
    /// All items.
    Listing {
        /// The items.
        items: Vec<Item>,
        /// Revision at which they were read.
        at: u64,
    },
    /// Changes.
    Changes(Vec<Item>),
}

/// Reads all, then watches while `enabled`, for ever; ends when nobody listens.
pub(super) async fn watch_store<N: Network>(
    store: PlatformStore<N>,
    mut enabled: watch::Receiver<bool>,
    tx: mpsc::Sender<StoreEvent>,
) {
    let mut position = None;
    let mut is_lost = false;
    let mut backoff = FIRST_BACKOFF;
    while !tx.is_closed() {
        if position.is_some() && enabled.wait_for(|on| *on).await.is_err() {
            return;
        }
        let result = next_event(&store, &mut position).await;
        let event = match result {
            Ok(event) => {
                backoff = FIRST_BACKOFF;
                if is_lost && tx.send(StoreEvent::Back).await.is_err() {
                    return;
                }
                is_lost = false;
                event
            }
            Err(StoreError::Compacted) => {
                position = None;
                continue;
            }
            Err(e) => {
                tokio::time::sleep(jittered(backoff)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
                if is_lost {
                    continue;
                }
                is_lost = true;
                StoreEvent::Lost {
                    reason: e.to_string(),
                }
            }
        };
        if tx.send(event).await.is_err() {
            return;
        }
        tokio::time::sleep(MIN_INTERVAL).await;
    }
}

async fn next_event<N: Network>(
    store: &PlatformStore<N>,
    position: &mut Option<u64>,
) -> Result<StoreEvent, StoreError> {
    match *position {
        None => {
            let listing = store.range("").await?;
            *position = Some(listing.at);
            Ok(StoreEvent::Listing {
                items: listing.items,
                at: listing.at,
            })
        }
        Some(after) => {
            let news = store.watch("", after, WATCH_WAIT).await?;
            *position = Some(news.at.max(after));
            Ok(StoreEvent::Changes(news.items))
        }
    }
}

/// Between half and all of a pause, so that nodes don't call in step.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.0))
}
