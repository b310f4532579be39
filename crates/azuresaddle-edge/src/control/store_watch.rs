//! Follows the platform's store.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_platform::{Item, PlatformStore, StoreEra, StoreError, StorePosition};
use rand::Rng;
use tokio::sync::{mpsc, watch};

/// Longest wait of one watch; a connection that went silent is found after that and a little more.
/// Each watch is a paid call.
const WATCH_WAIT: Duration = Duration::from_millis(1500);

/// First pause after a failed call.
pub(super) const FIRST_BACKOFF: Duration = Duration::from_millis(150);

/// Longest pause after failed calls.
pub(super) const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Shortest time between two watches, so that quick changes don't turn into a call each.
const MIN_INTERVAL: Duration = Duration::from_millis(40);

/// What the store tells.
#[derive(Debug)]
pub(super) enum StoreEvent {
    /// The store answers again, after it did not.
    Reconnected,
    /// The store does not answer.
    Unreachable {
        /// Why.
        reason: String,
    },
    /// All items.
    Listing {
        /// The items.
        items: Vec<Item>,
        /// Position at which they were read.
        at: StorePosition,
    },
    /// A page of a listing that is not the last.
    Page(Vec<Item>),
    /// All changes since the last ones, or since the listing.
    Changes {
        /// The changes in their order.
        items: Vec<Item>,
        /// Position up to which they are all.
        at: StorePosition,
    },
    /// An answer came from a later copy of the store than all before.
    Era(StoreEra),
}

/// Reads all, then watches while `enabled`, for ever; ends when nobody listens.
pub(super) async fn watch_store<N: Network>(
    store: PlatformStore<N>,
    mut enabled: watch::Receiver<bool>,
    tx: mpsc::Sender<StoreEvent>,
) {
    let mut progress = ReadProgress::start();
    let mut era = store.subscribe_era();
    let mut is_lost = false;
    let mut backoff = FIRST_BACKOFF;
    while !tx.is_closed() {
        if progress.is_watching() && enabled.wait_for(|on| *on).await.is_err() {
            return;
        }
        let mut later = era.clone();
        let result = tokio::select! {
            result = next_event(&store, &mut progress) => result,
            // A watch that waits on the earlier copy may never be answered.
            Ok(()) = wait_for_later_era(&mut later) => Err(StoreError::WentBack),
        };
        if let Some(era) = take_later_era(&mut era)
            && tx.send(StoreEvent::Era(era)).await.is_err()
        {
            return;
        }
        let event = match result {
            Ok(event) => {
                backoff = FIRST_BACKOFF;
                if is_lost && tx.send(StoreEvent::Reconnected).await.is_err() {
                    return;
                }
                is_lost = false;
                event
            }
            Err(StoreError::Compacted | StoreError::WentBack) => {
                progress = ReadProgress::start();
                continue;
            }
            Err(e) => {
                progress.on_failure();
                tokio::time::sleep(jittered(backoff)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
                if is_lost {
                    continue;
                }
                is_lost = true;
                StoreEvent::Unreachable {
                    reason: e.to_string(),
                }
            }
        };
        if tx.send(event).await.is_err() {
            return;
        }
        if progress.is_watching() {
            tokio::time::sleep(MIN_INTERVAL).await;
        }
    }
}

/// Waits until an answer to any call tells a later era than the one that was read last.
async fn wait_for_later_era(
    era: &mut watch::Receiver<Option<StoreEra>>,
) -> Result<(), watch::error::RecvError> {
    let known = *era.borrow();
    match known {
        Some(known) => era
            .wait_for(|e| e.is_some_and(|e| e > known))
            .await
            .map(|_| ()),
        // The first answer is no change.
        None => std::future::pending().await,
    }
}

/// The era, where an answer to any call has told a later one than before.
fn take_later_era(era: &mut watch::Receiver<Option<StoreEra>>) -> Option<StoreEra> {
    let has_changed = era.has_changed().unwrap_or(false);
    has_changed.then(|| *era.borrow_and_update()).flatten()
}

/// How far the store was read.
enum ReadProgress {
    /// All is read, page by page.
    Listing {
        items: Vec<Item>,
        /// Position of the first page.
        at: Option<StorePosition>,
        /// Key after which the next page begins.
        after: Option<String>,
    },
    /// Changes after a position are waited for.
    Watching(StorePosition),
}

impl ReadProgress {
    fn start() -> Self {
        Self::Listing {
            items: Vec::new(),
            at: None,
            after: None,
        }
    }

    fn is_watching(&self) -> bool {
        matches!(self, Self::Watching(_))
    }

    /// A listing that failed on the way begins anew; it may go on much later.
    fn on_failure(&mut self) {
        if !self.is_watching() {
            *self = Self::start();
        }
    }
}

/// Reads the next page or waits for the next changes.
///
/// The items of a page are told at once: the configuration is on the first one, and the other
/// pages of thousands of targets take seconds when hundreds of nodes start together.
async fn next_event<N: Network>(
    store: &PlatformStore<N>,
    progress: &mut ReadProgress,
) -> Result<StoreEvent, StoreError> {
    match progress {
        ReadProgress::Listing { items, at, after } => {
            let page = store.page("", after.as_deref()).await?;
            let first_at = *at.get_or_insert(page.at);
            if page.at.era != first_at.era {
                return Err(StoreError::WentBack);
            }
            *after = page.next;
            if after.is_some() {
                items.extend(page.items.iter().cloned());
                return Ok(StoreEvent::Page(page.items));
            }
            items.extend(page.items);
            let items = std::mem::take(items);
            *progress = ReadProgress::Watching(first_at);
            Ok(StoreEvent::Listing {
                items,
                at: first_at,
            })
        }
        ReadProgress::Watching(after) => {
            let changes = store.watch("", *after, WATCH_WAIT).await?;
            *after = changes.at.max(*after);
            Ok(StoreEvent::Changes {
                items: changes.items,
                at: *after,
            })
        }
    }
}

/// Between half and all of a pause, so that nodes don't call in step.
pub(super) fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.0))
}
