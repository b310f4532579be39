//! A store whose answers break off or never end.

use std::time::Duration;

use azuresaddle_standin::platform::{RawAnswer, RawConnections, RawEnd, TargetHandle};
use azuresaddle_standin::soak::ProxyMode;
use futures::future::join_all;
use serde_json::json;

use super::{APPLY_TIME, CLOSE_TIME, MAX_GROWTH_BYTES, POLL_INTERVAL, ROUTE_TIMEOUT, add_routes};
use crate::platform::support::{ask, fleet, plain, status};

/// Time for which the nodes reach only the broken store.
const FAULT_TIME: Duration = Duration::from_secs(4);

/// Time in which a change is in effect once the store is whole again.
const RETURN_TIME: Duration = Duration::from_secs(4);

/// Pause before each byte of a slow answer.
const TRICKLE_PAUSE: Duration = Duration::from_millis(50);

/// Body of an answer that ends the entries of targets.
fn removal(targets: &[TargetHandle]) -> String {
    let at = 1_000_000;
    let events = targets.iter().map(|target| {
        let key = format!("servers/{}", target.id());
        json!({"key": key, "revision": at, "deleted": true})
    });
    let events: Vec<_> = events.collect();
    json!({"entries": [], "events": events, "has_more": false, "at": at}).to_string()
}

/// Answers of a store that are none.
fn store_faults(plain: &[TargetHandle]) -> Vec<(&'static str, RawAnswer)> {
    let head = "HTTP/1.1 200 OK\r\n";
    let list = "{\"entries\":[],\"events\":[";
    let unframed = format!("{head}\r\n{list}");
    let huge = format!("{head}content-length: 999999999999\r\n\r\n{list}");
    let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
    let short = format!("{head}content-length: 40\r\n\r\n{list}");
    // A whole answer, after which the nodes that take it for one know no plain target.
    let removed = removal(plain);
    let length = removed.len();
    let coded = format!("{head}transfer-encoding: chunkde\r\n\r\n{removed}");
    let both = format!(
        "{head}content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n{length:x}\r\n{removed}\r\n0\r\n\r\n"
    );
    let no_field = format!("{head}no field\r\ncontent-length: {length}\r\n\r\n{removed}");
    let no_status = format!("HTTP/1.1 000 OK\r\ncontent-length: {length}\r\n\r\n{removed}");
    let slow = |bytes| RawEnd::Trickle(bytes, TRICKLE_PAUSE);
    let faults = [
        ("cut head", head.to_owned(), RawEnd::Close),
        ("cut body", short.clone(), RawEnd::Close),
        ("silent body", short, RawEnd::Silence),
        ("endless head", head.to_owned(), RawEnd::Endless("a: b\r\n")),
        ("slow head", head.to_owned(), slow("a: b\r\n")),
        ("endless junk", String::new(), RawEnd::Endless("\u{1}junk")),
        ("endless body", unframed.clone(), RawEnd::Endless("[],")),
        ("slow body", unframed, slow("[],")),
        ("endless long body", huge, RawEnd::Endless("[")),
        ("endless chunks", chunked, RawEnd::Endless("1\r\n[\r\n")),
        ("unknown coding", coded, RawEnd::Close),
        ("coding beside a length", both, RawEnd::Close),
        ("line that is no field", no_field, RawEnd::Close),
        ("status of no answer", no_status, RawEnd::Close),
    ];
    let faults = faults.into_iter();
    faults
        .map(|(name, start, end)| (name, RawAnswer { start, end }))
        .collect()
}

/// Whether all connections with a call are closed in time.
async fn are_closed(store: &RawConnections) -> bool {
    let closed = async {
        while store.used() > 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(CLOSE_TIME, closed).await.is_ok()
}

/// Guards against a node that a broken answer of the store keeps from following it, that keeps its connections to such a
/// store, or that reads from it without end.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_whose_answers_are_none_holds_no_node_for_longer_than_it_lasts() {
    let count = store_faults(&[]).len();
    let mut fleet = fleet("broken-store", count as u8).await;
    let faults = store_faults(&fleet.platform.plain);
    let mut stores = Vec::new();
    for (_, answer) in &faults {
        // No configuration has this service.
        let store = fleet.platform.add_raw_answer("store", answer.clone());
        stores.push(store.await.unwrap());
    }
    tokio::time::sleep(APPLY_TIME).await;
    let before: Vec<u64> = fleet
        .nodes
        .iter()
        .map(|n| n.resident_bytes().unwrap())
        .collect();
    for proxy in &fleet.store_proxies {
        // Ends the watches that wait for an answer of the whole store.
        proxy.set_mode(ProxyMode::Reset);
    }
    tokio::time::sleep(POLL_INTERVAL).await;
    for (proxy, store) in fleet.store_proxies.iter().zip(&stores) {
        proxy.set_mode(ProxyMode::Divert(store.addr));
    }
    tokio::time::sleep(FAULT_TIME).await;
    let served = join_all(
        fleet
            .nodes
            .iter()
            .map(async |n| ask(n, &plain("/note/1")).await),
    )
    .await;
    let grown: Vec<u64> = fleet
        .nodes
        .iter()
        .zip(&before)
        .map(|(n, before)| n.resident_bytes().unwrap_or(0).saturating_sub(*before))
        .collect();
    for proxy in &fleet.store_proxies {
        proxy.set_mode(ProxyMode::Pass);
    }
    add_routes(&mut fleet.platform, 0, ROUTE_TIMEOUT);
    let route = "/note-0/";
    fleet.platform.change_configuration(|c| {
        let route = c.routes.iter_mut().find(|r| r.prefix == route);
        route.expect("added above").service = "desk".to_owned();
    });
    tokio::time::sleep(RETURN_TIME).await;
    let mut wrong = Vec::new();
    for (n, (fault, _)) in faults.iter().enumerate() {
        let status = status(&fleet.nodes[n], &plain(&format!("{route}1"))).await;
        let is_served = served[n].as_ref().is_ok_and(|a| a.status == 200);
        let is_running = fleet.nodes[n].is_running();
        let is_closed = are_closed(&stores[n]).await;
        let (used, calls) = (stores[n].used(), stores[n].requests());
        if calls == 0
            || !is_served
            || !is_running
            || !is_closed
            || status != 200
            || grown[n] > MAX_GROWTH_BYTES
        {
            let grown = grown[n] >> 20;
            wrong.push(format!(
                "{fault}: {calls} calls, served {is_served}, running {is_running}, connections left {used}, \
                 status of a new route {status}, grew by {grown} MiB"
            ));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
