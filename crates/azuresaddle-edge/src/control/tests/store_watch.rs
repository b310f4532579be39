//! Tests of how a node that starts reads a store whose listing has several pages.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use azuresaddle_core::http::{Body, Handler, HttpClient, ServerLimits, full, serve};
use azuresaddle_core::prelude::*;
use azuresaddle_platform::{PlatformStore, StoreEra, StorePosition};
use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response};
use serde_json::json;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::memory_network::memory_network;
use crate::control::read_plan::{FirstListing, ReadPlan};
use crate::control::store_event::StoreEvent;
use crate::control::store_watch::watch_store;

/// Revision of the store, and that of the copy from which it answers reads that may be stale.
const REVISION: u64 = 30;
const STALE_REVISION: u64 = 20;

/// Revision of the targets that another node has provided.
const PROVIDED_REVISION: u64 = 25;

/// Timeout of the node's calls to the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A store with three pages of one key each, which keeps the queries of all calls.
#[derive(Default)]
struct PagedStore {
    queries: Mutex<Vec<String>>,
    is_silent: AtomicBool,
    /// Answer to the next watch; it is not answered without one.
    changes: Mutex<Option<String>>,
}

impl PagedStore {
    fn queries(&self) -> Vec<String> {
        self.queries.lock().unwrap().clone()
    }
}

impl Handler for PagedStore {
    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let target = req.uri().to_string();
        self.queries.lock().unwrap().push(target.clone());
        if target.starts_with("/kv-watch")
            && let Some(changes) = self.changes.lock().unwrap().take()
        {
            return Response::new(full(changes));
        }
        if target.starts_with("/kv-watch") || self.is_silent.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        let page = match target.split_once("after=") {
            None => 1,
            Some((_, after)) => after[after.len() - 1..].parse::<u64>().unwrap() + 1,
        };
        let is_stale = target.contains("stale_read=1");
        let at = if is_stale { STALE_REVISION } else { REVISION };
        let entry = json!({"key": format!("servers/{page}"), "value": "e30=", "revision": page});
        let body = json!({"entries": [entry], "has_more": page < 3, "at": at});
        Response::new(full(body.to_string()))
    }
}

struct Running {
    store: Arc<PagedStore>,
    plan: watch::Sender<ReadPlan>,
    events: mpsc::Receiver<StoreEvent>,
}

async fn start(first_listing: FirstListing) -> Running {
    start_on(1.0, first_listing, Arc::default()).await
}

async fn start_on(cpu_share: f64, first_listing: FirstListing, store: Arc<PagedStore>) -> Running {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let (net, listener) = memory_network(addr);
    serve(
        listener,
        Spawner::current(),
        ServerLimits::default(),
        Arc::clone(&store),
    );
    let http = HttpClient::new(net, Spawner::current());
    let client = PlatformStore::new(http, addr, CALL_TIMEOUT);
    let plan = watch::Sender::new(ReadPlan {
        watch_interval: None,
        first_listing,
        position: StorePosition::new(StoreEra(0), PROVIDED_REVISION),
    });
    let (tx, events) = mpsc::channel(16);
    Spawner::current().spawn(watch_store(client, plan.subscribe(), cpu_share, tx));
    Running {
        store,
        plan,
        events,
    }
}

impl Running {
    /// Waits for the complete listing; returns its position.
    async fn listing(&mut self) -> StorePosition {
        loop {
            if let StoreEvent::Listing { items, at } = self.events.recv().await.unwrap() {
                assert_eq!(items.len(), 3);
                return at;
            }
        }
    }

    /// Whether each call so far was one that may be answered from an older copy.
    fn stale(&self) -> Vec<bool> {
        let queries = self.store.queries();
        queries.iter().map(|q| q.contains("stale_read=1")).collect()
    }
}

#[tokio::test(start_paused = true)]
async fn the_first_listing_reads_only_its_first_page_at_the_full_price() {
    let mut node = start(FirstListing::Own).await;
    // Changes after the earliest page may be missing from the listing.
    assert_eq!(node.listing().await.revision, STALE_REVISION);
    assert_eq!(node.stale(), [false, true, true]);
}

#[tokio::test(start_paused = true)]
async fn a_node_that_starts_in_a_running_fleet_reads_one_page() {
    let mut node = start(FirstListing::Expected).await;
    while !matches!(node.events.recv().await, Some(StoreEvent::Page(_))) {}
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(node.stale(), [false]);
    node.plan
        .send_modify(|p| p.first_listing = FirstListing::Provided);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(node.stale(), [false]);
    // If it watches the store later, it goes on where the other node was.
    node.plan
        .send_modify(|p| p.watch_interval = Some(Duration::from_millis(1)));
    tokio::time::sleep(Duration::from_millis(100)).await;
    let watch = node.store.queries().pop().unwrap();
    assert!(
        watch.starts_with("/kv-watch") && watch.contains("after=25"),
        "{watch}"
    );
}

#[tokio::test(start_paused = true)]
async fn a_node_whose_provider_fails_reads_the_rest_itself() {
    let mut node = start(FirstListing::Expected).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    node.plan
        .send_modify(|p| p.first_listing = FirstListing::Own);
    node.listing().await;
}

#[tokio::test(start_paused = true)]
async fn a_listing_that_another_node_has_provided_is_abandoned() {
    let store = Arc::new(PagedStore::default());
    store.is_silent.store(true, Ordering::Relaxed);
    let mut node = start_on(1.0, FirstListing::Own, Arc::clone(&store)).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(store.queries().len(), 1);
    node.plan
        .send_modify(|p| p.first_listing = FirstListing::Provided);
    store.is_silent.store(false, Ordering::Relaxed);
    let nothing = tokio::time::timeout(CALL_TIMEOUT * 2, node.events.recv()).await;
    assert!(nothing.is_err(), "{nothing:?}");
    assert_eq!(store.queries().len(), 1);
}

/// Guards against nodes that start while the store is silent, and wait for their timeout when it is back.
#[tokio::test(start_paused = true)]
async fn a_listing_that_hangs_is_requested_again_once_the_store_answers() {
    let store = Arc::new(PagedStore::default());
    store.is_silent.store(true, Ordering::Relaxed);
    let mut node = start_on(1.0, FirstListing::Own, Arc::clone(&store)).await;
    tokio::time::sleep(Duration::from_millis(800)).await;
    store.is_silent.store(false, Ordering::Relaxed);
    let in_time = tokio::time::timeout(CALL_TIMEOUT / 2, node.listing()).await;
    assert!(in_time.is_ok());
}

/// Guards against a start of a large fleet in which all nodes fill the store's link.
#[tokio::test(start_paused = true)]
async fn a_weak_host_reads_the_store_only_if_no_other_node_provides_its_content() {
    let store = Arc::new(PagedStore::default());
    let node = start_on(0.12, FirstListing::Own, Arc::clone(&store)).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    node.plan
        .send_modify(|p| p.first_listing = FirstListing::Provided);
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert!(store.queries().is_empty());
    let mut alone = start_on(0.12, FirstListing::Own, store).await;
    alone.listing().await;
}

/// Guards against a node that requests the same changes for good and never gets them, since they are too long or of another
/// form.
#[tokio::test(start_paused = true)]
async fn the_store_is_listed_again_if_its_changes_cannot_be_read() {
    let too_long = format!(r#"{{"events":[],"at":31,"x":"{}"}}"#, "x".repeat(17 << 20));
    let other_form = r#"{"events":{},"at":31}"#.to_owned();
    for changes in [too_long, other_form] {
        let mut node = start(FirstListing::Own).await;
        node.listing().await;
        *node.store.changes.lock().unwrap() = Some(changes);
        node.plan
            .send_modify(|p| p.watch_interval = Some(Duration::from_millis(1)));
        let listed = tokio::time::timeout(Duration::from_secs(1), node.listing()).await;
        assert_eq!(listed.unwrap().revision, REVISION);
    }
}
/// Time within which a change of the configuration must be in force.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// How the first watch of a [`WatchedStore`] is lost.
#[derive(Clone, Copy)]
enum LostWatch {
    /// It is never answered.
    Silent,
    /// The head of its answer arrives after a time, and its body never ends.
    EndlessBody(Duration),
}

/// A store whose first watch is lost, and whose later ones return a change at once.
struct WatchedStore {
    lost: LostWatch,
    watches: AtomicU64,
}

impl Handler for WatchedStore {
    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        if !req.uri().path().starts_with("/kv-watch") {
            let body = json!({"entries": [], "has_more": false, "at": REVISION});
            return Response::new(full(body.to_string()));
        }
        if self.watches.fetch_add(1, Ordering::Relaxed) > 0 {
            let event = json!({"key": "op/config", "value": "e30=", "revision": REVISION + 1});
            let body = json!({"events": [event], "at": REVISION + 1});
            return Response::new(full(body.to_string()));
        }
        match self.lost {
            LostWatch::Silent => std::future::pending().await,
            LostWatch::EndlessBody(after) => {
                tokio::time::sleep(after).await;
                let begin = Frame::data(Bytes::from_static(b"{\"events\":["));
                let begin = futures::stream::iter([Ok(begin)]);
                let body = begin.chain(futures::stream::pending());
                Response::new(BodyExt::boxed(StreamBody::new(body)))
            }
        }
    }
}

/// Time from the start of a watch that is lost to the arrival of a change that was made right after it.
async fn time_to_change(lost: LostWatch) -> Duration {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let (net, listener) = memory_network(addr);
    let watches = AtomicU64::new(0);
    let store = Arc::new(WatchedStore { lost, watches });
    serve(listener, Spawner::current(), ServerLimits::default(), store);
    let http = HttpClient::new(net, Spawner::current());
    let client = PlatformStore::new(http, addr, Duration::from_secs(1));
    let plan = watch::Sender::new(ReadPlan {
        watch_interval: Some(Duration::from_millis(40)),
        first_listing: FirstListing::Own,
        position: StorePosition::default(),
    });
    let (tx, mut events) = mpsc::channel(16);
    Spawner::current().spawn(watch_store(client, plan.subscribe(), 1.0, tx));
    while !matches!(events.recv().await, Some(StoreEvent::Listing { .. })) {}
    let changed_at = Instant::now();
    while !matches!(events.recv().await, Some(StoreEvent::Changes { .. })) {}
    changed_at.elapsed()
}

/// Guards against a node that learns of a change only after the time to apply it, since its connection went silent.
#[tokio::test(start_paused = true)]
async fn a_change_arrives_in_time_although_a_watch_is_never_answered() {
    let took = time_to_change(LostWatch::Silent).await;
    assert!(took < APPLY_TIME, "{took:?}");
}

/// Guards against an answer that may take the whole timeout again once its head has arrived.
#[tokio::test(start_paused = true)]
async fn a_watch_whose_answer_stops_in_its_body_takes_no_longer_than_a_silent_one() {
    let silent = time_to_change(LostWatch::Silent).await;
    let body = LostWatch::EndlessBody(Duration::from_millis(1400));
    let took = time_to_change(body).await;
    assert!(
        took < silent + Duration::from_millis(500),
        "{took:?}, silent: {silent:?}"
    );
}
