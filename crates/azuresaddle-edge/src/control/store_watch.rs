//! Reads and watches the platform's store.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_platform::{
    Freshness, PageAnswer, PlatformStore, StoreEra, StoreError, StoreItem, StorePosition,
};
use rand::Rng;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Maximum duration of one watch call; a dead connection is detected shortly after it. Each watch
/// is a paid call.
const WATCH_WAIT: Duration = Duration::from_millis(1500);

/// Initial backoff after a failed call.
pub(super) const FIRST_BACKOFF: Duration = Duration::from_millis(150);

/// Maximum backoff after failed calls.
pub(super) const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Time without an answer after which a call counts as hanging.
const HANGING_CALL: Duration = Duration::from_millis(400);

/// Timeout of a probe while a call hangs.
const HANGING_PROBE: Duration = Duration::from_millis(200);

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

/// Whether and how a node reads the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StoreReading {
    /// Minimum interval between two watch calls, so that changes in quick succession share a call;
    /// `None` if other nodes watch.
    pub(super) watch_interval: Option<Duration>,
    /// Who reads the content of the store for a node that has just started.
    pub(super) first_listing: FirstListing,
    /// Position from which a node watches whose first listing another node has provided.
    pub(super) position: StorePosition,
}

/// Who reads the content of the store for a node that has just started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FirstListing {
    /// The node itself.
    Own,
    /// The node itself reads the first page, which contains the configuration. Another node, which
    /// has all targets, provides the remaining pages.
    Expected,
    /// Another node has provided everything.
    Provided,
}

/// An event from the store.
#[derive(Debug)]
pub(super) enum StoreEvent {
    /// The store answers again after a failure.
    Reconnected,
    /// The store has stopped answering.
    Unreachable {
        /// Description of the error.
        reason: String,
    },
    /// The complete content of the store.
    Listing {
        /// The items.
        items: Vec<StoreItem>,
        /// Position of the listing.
        at: StorePosition,
    },
    /// A page of a listing other than the last one.
    Page(Vec<StoreItem>),
    /// All changes since the previous event or the listing.
    Changes {
        /// The changes in order.
        items: Vec<StoreItem>,
        /// Position up to which the changes are complete.
        at: StorePosition,
    },
    /// An answer revealed a later era of the store than all previous ones.
    Era(StoreEra),
}

/// Reads the complete store, then watches it as long as `reading` has an interval. Returns once nobody
/// receives the events or can enable the watch.
pub(super) async fn watch_store<N: Network>(
    store: PlatformStore<N>,
    mut reading: watch::Receiver<StoreReading>,
    cpu_share: f64,
    tx: mpsc::Sender<StoreEvent>,
) {
    let started_at = Instant::now();
    let first_page_at = started_at + first_page_delay(cpu_share);
    let rest_at = first_page_at.max(started_at + PEER_DISCOVERY);
    let mut progress = ReadProgress::start(Freshness::MayBeStale);
    let mut is_first_listing = true;
    let mut era = store.subscribe_era();
    let mut is_unreachable = false;
    let mut backoff = FIRST_BACKOFF;
    while !tx.is_closed() {
        if is_first_listing {
            let turn = if progress.has_first_page() {
                wait_for_rest(&mut reading, rest_at).await
            } else {
                wait_for_first_page(&mut reading, first_page_at).await
            };
            if turn.is_err() {
                return;
            }
        }
        let is_now_provided = is_first_listing && is_provided(&reading.borrow());
        is_first_listing &= !is_now_provided;
        if !is_first_listing {
            let enabled = reading.wait_for(|r| r.watch_interval.is_some()).await;
            let Ok(position) = enabled.map(|r| r.position) else {
                return;
            };
            if is_now_provided {
                progress = ReadProgress::Watching(position);
            }
        }
        let mut provided = reading.clone();
        let mut later = era.clone();
        let result = tokio::select! {
            result = next_event(&store, &mut progress) => result,
            // A watch that was started before the rollback may never be answered.
            Ok(()) = wait_for_later_era(&mut later) => Err(StoreError::RolledBack),
            // The answer would only take bandwidth from nodes that still need it.
            Ok(_) = provided.wait_for(is_provided), if is_first_listing => continue,
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
        let interval = reading.borrow().watch_interval;
        if let Some(interval) = interval
            && progress.is_watching()
        {
            tokio::time::sleep(interval).await;
        }
    }
}

/// Returns the delay after the start before a node reads the store itself.
///
/// When all nodes of a large fleet read it at once, the store's link is full for seconds, and hardly
/// any of them gets an answer in time.
fn first_page_delay(cpu_share: f64) -> Duration {
    if cpu_share >= WEAK_CPU_SHARE {
        return Duration::ZERO;
    }
    WEAK_HOST_WAIT + WEAK_HOST_SPREAD.mul_f64(rand::rng().random())
}

/// Waits until a starting node may read the first page, or another node has provided everything.
async fn wait_for_first_page(
    reading: &mut watch::Receiver<StoreReading>,
    read_at: Instant,
) -> Result<(), watch::error::RecvError> {
    tokio::select! {
        () = tokio::time::sleep_until(read_at) => Ok(()),
        provided = reading.wait_for(is_provided) => provided.map(drop),
    }
}

/// Waits until a starting node may read the pages after the first one, or another node has provided
/// everything.
async fn wait_for_rest(
    reading: &mut watch::Receiver<StoreReading>,
    read_at: Instant,
) -> Result<(), watch::error::RecvError> {
    wait_for_first_page(reading, read_at).await?;
    let is_decided = |r: &StoreReading| r.first_listing != FirstListing::Expected;
    reading.wait_for(is_decided).await.map(drop)
}

fn is_provided(reading: &StoreReading) -> bool {
    reading.first_listing == FirstListing::Provided
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

/// Progress in reading the store.
enum ReadProgress {
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
    fn start(freshness: Freshness) -> Self {
        Self::Listing {
            items: Vec::new(),
            at: None,
            after: None,
            freshness,
        }
    }

    /// Whether the next page of a listing is not its first one.
    fn has_first_page(&self) -> bool {
        matches!(self, Self::Listing { after: Some(_), .. })
    }

    fn is_watching(&self) -> bool {
        matches!(self, Self::Watching(_))
    }

    /// Restarts a listing that failed, since the next attempt may be much later.
    fn on_failure(&mut self) {
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
async fn next_event<N: Network>(
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

/// Returns a random duration between half and all of a pause, so that nodes do not call in step.
pub(super) fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.0))
}
