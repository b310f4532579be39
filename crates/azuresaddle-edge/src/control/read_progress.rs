//! Reads the store page by page, then its changes.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_platform::{
    Freshness, PageAnswer, PlatformStore, StoreError, StoreItem, StorePosition,
};

use super::store_event::StoreEvent;

/// Maximum duration of one watch call. A dead connection is detected shortly after it, early enough
/// for a change that it has lost to come into force in time. Each watch is a paid call.
const WATCH_WAIT: Duration = Duration::from_millis(900);

/// Time without an answer after which a call counts as hanging.
const HANGING_CALL: Duration = Duration::from_millis(400);

/// Timeout of a probe while a call hangs.
const HANGING_PROBE: Duration = Duration::from_millis(200);

/// Progress in reading the store.
pub(super) enum ReadProgress {
    /// The complete store is being read page by page.
    Listing {
        items: Vec<StoreItem>,
        /// Earliest position of the pages so far.
        at: Option<StorePosition>,
        /// Key after which the next page starts.
        after: Option<String>,
        /// How recent the pages after the first one must be.
        freshness: Freshness,
    },
    /// Changes after a position are being watched.
    Watching(StorePosition),
}

impl ReadProgress {
    pub(super) fn start(freshness: Freshness) -> Self {
        Self::Listing {
            items: Vec::new(),
            at: None,
            after: None,
            freshness,
        }
    }

    /// Whether the next page of a listing is not its first one.
    pub(super) fn has_first_page(&self) -> bool {
        matches!(self, Self::Listing { after: Some(_), .. })
    }

    pub(super) fn is_watching(&self) -> bool {
        matches!(self, Self::Watching(_))
    }

    /// Restarts a listing that failed, since the next attempt may be much later.
    pub(super) fn on_failure(&mut self) {
        if let Self::Listing { freshness, .. } = self {
            *self = Self::start(*freshness);
        }
    }
}

/// Reads the next page or waits for the next changes.
///
/// The items of a page are delivered at once: the first page contains the configuration, and the
/// remaining pages of thousands of targets take seconds when hundreds of nodes start together. Those
/// may be stale in the first listing, since the changes after them follow by the watch or from other
/// nodes.
pub(super) async fn next_event<N: Network>(
    store: &PlatformStore<N>,
    progress: &mut ReadProgress,
) -> Result<StoreEvent, StoreError> {
    match progress {
        ReadProgress::Listing {
            items,
            at,
            after,
            freshness,
        } => {
            let freshness = match after {
                Some(_) => *freshness,
                None => Freshness::Latest,
            };
            let answer = request_page(store, after.as_deref(), freshness).await?;
            let page = answer.read().await?;
            let first_at = at.map_or(page.at, |at| at.min(page.at));
            if at.is_some_and(|at| at.era != page.at.era) {
                return Err(StoreError::RolledBack);
            }
            *at = Some(first_at);
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

/// Requests a page, again as soon as the store answers other calls while this one hangs.
///
/// A call that was sent to a silent store is never answered. A node that starts then would otherwise
/// find out that the store is back only after the timeout.
async fn request_page<N: Network>(
    store: &PlatformStore<N>,
    after: Option<&str>,
    freshness: Freshness,
) -> Result<PageAnswer, StoreError> {
    loop {
        tokio::select! {
            answer = store.request_page("", after, freshness) => return answer,
            () = answers_other_calls(store) => {}
        }
    }
}

/// Waits until a call has hung for a while and the store answers another one.
async fn answers_other_calls<N: Network>(store: &PlatformStore<N>) {
    tokio::time::sleep(HANGING_CALL).await;
    while let Err(e) = store.probe(HANGING_PROBE).await {
        tracing::debug!(part = "control", error = %e, "store probe failed");
        tokio::time::sleep(HANGING_PROBE / 2).await;
    }
}
