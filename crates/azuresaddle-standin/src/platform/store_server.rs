//! HTTP interface of the stand-in for the platform's store.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::http::{Body, Handler, full, read_limited};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use percent_encoding::percent_decode_str;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::store::{PlatformStoreModel, StoreFault};
use super::store_state::{Change, Stored};

/// Response header with the store's era, which rises with each rollback.
const ERA: HeaderName = HeaderName::from_static("store-era");

/// Maximum number of items in one page of a range.
const PAGE_ITEMS: usize = 500;

/// Maximum time that a watch waits for a change.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Timeout for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Deserialize)]
struct Transaction {
    #[serde(default)]
    expected: Vec<Expected>,
    #[serde(default)]
    write: Vec<Write>,
    #[serde(default)]
    remove: Vec<String>,
}

#[derive(Deserialize)]
struct Expected {
    key: String,
    revision: u64,
}

#[derive(Deserialize)]
struct Write {
    key: String,
    value: String,
    #[serde(default)]
    lease_id: u64,
}

#[derive(Deserialize)]
struct Lease {
    ttl_ms: u64,
}

/// Handles the HTTP calls to the store.
pub(super) struct StoreServer(pub(super) PlatformStoreModel);

impl Handler for StoreServer {
    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        self.0.count_call();
        let era = self.0.era();
        let mut response = self.answer_unless_faulty(req).await;
        if self.0.era() != era {
            // The store was rolled back during the call; the caller must not get an answer of the old store.
            std::future::pending::<()>().await;
        }
        response.headers_mut().insert(ERA, HeaderValue::from(era));
        response
    }
}

impl StoreServer {
    async fn answer_unless_faulty(&self, req: Request<Incoming>) -> Response<Body> {
        match self.0.fault() {
            StoreFault::Unavailable => return status(StatusCode::SERVICE_UNAVAILABLE),
            StoreFault::Silent => std::future::pending::<()>().await,
            StoreFault::Slow(by) => tokio::time::sleep(by).await,
            StoreFault::None | StoreFault::AnswersLost => {}
        }
        let is_write = req.method() != Method::GET;
        let response = self.answer(req).await;
        if is_write && self.0.fault() == StoreFault::AnswersLost {
            std::future::pending::<()>().await;
        }
        response
    }

    async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        let query = query_of(req.uri().query().unwrap_or(""));
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        let path = req.uri().path().to_owned();
        match (req.method().clone(), path.as_str()) {
            (Method::GET, "/kv-key") => {
                let key = text("key");
                let (stored, at) = self.0.get(&key);
                match stored {
                    Some(stored) => {
                        let mut item = item_json(&key, &stored);
                        item["at"] = json!(at);
                        respond(&item)
                    }
                    None => status(StatusCode::NOT_FOUND),
                }
            }
            (Method::GET, "/kv-range") => {
                let (page, has_more, at) =
                    self.0.range(&text("prefix"), &text("after"), PAGE_ITEMS);
                let entries: Vec<Value> = page.iter().map(|(k, s)| item_json(k, s)).collect();
                respond(&json!({"entries": entries, "has_more": has_more, "at": at}))
            }
            (Method::GET, "/kv-watch") => {
                let wait = Duration::from_millis(number("wait_ms")).min(MAX_WAIT);
                self.watch(&text("prefix"), number("after"), wait).await
            }
            (Method::POST, "/kv-txn") => match body_of::<Transaction>(req).await {
                Some(transaction) => self.transact(transaction),
                None => status(StatusCode::BAD_REQUEST),
            },
            (Method::POST, "/kv-lease") => match body_of::<Lease>(req).await {
                Some(lease) => {
                    let id = self.0.grant_lease(Duration::from_millis(lease.ttl_ms));
                    respond(&json!({"lease_id": id, "ttl_ms": lease.ttl_ms}))
                }
                None => status(StatusCode::BAD_REQUEST),
            },
            _ => self.lease_call(&path),
        }
    }

    fn lease_call(&self, path: &str) -> Response<Body> {
        let id = |prefix: &str| path.strip_prefix(prefix).and_then(|id| id.parse().ok());
        if let Some(lease) = id("/kv-keep/") {
            return match self.0.renew_lease(lease) {
                Some(ttl) => respond(&json!({"ttl_ms": ttl.as_millis() as u64})),
                None => status(StatusCode::NOT_FOUND),
            };
        }
        if let Some(lease) = id("/kv-lease-end/") {
            self.0.end_lease(lease);
            return respond(&json!({}));
        }
        status(StatusCode::NOT_FOUND)
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Response<Body> {
        let until = Instant::now() + wait;
        let mut changed = self.0.subscribe();
        loop {
            let Some((changes, at)) = self.0.changes(prefix, after) else {
                return status(StatusCode::GONE);
            };
            let timed_out = Instant::now() >= until;
            if !changes.is_empty() || timed_out {
                let events: Vec<Value> = changes.iter().map(change_json).collect();
                return respond(&json!({"events": events, "at": at}));
            }
            // The sender lives as long as the store; after a timeout, the loop answers with the changes so far.
            let _ = tokio::time::timeout_at(until, changed.changed()).await;
        }
    }

    fn transact(&self, transaction: Transaction) -> Response<Body> {
        let expected: Vec<(String, u64)> = transaction
            .expected
            .into_iter()
            .map(|e| (e.key, e.revision))
            .collect();
        let mut writes = Vec::new();
        for write in transaction.write {
            if write.key.starts_with("op/") || write.key.starts_with("servers/") {
                return status(StatusCode::FORBIDDEN);
            }
            let Ok(value) = STANDARD.decode(write.value) else {
                return status(StatusCode::BAD_REQUEST);
            };
            writes.push((write.key, value, write.lease_id));
        }
        match self.0.transact(&expected, writes, &transaction.remove) {
            Ok(revision) => respond(&json!({"revision": revision})),
            Err(conflict) => {
                let present = conflict.0.iter();
                let entries: Vec<Value> = present
                    .filter_map(|(k, s)| s.as_ref().map(|s| item_json(k, s)))
                    .collect();
                let mut response = respond(&json!({"entries": entries}));
                *response.status_mut() = StatusCode::PRECONDITION_FAILED;
                response
            }
        }
    }
}

fn item_json(key: &str, stored: &Stored) -> Value {
    json!({
        "key": key,
        "value": STANDARD.encode(&stored.value),
        "revision": stored.revision,
        "created": stored.created,
        "lease_id": stored.lease,
    })
}

fn change_json(change: &Change) -> Value {
    match &change.stored {
        Some(stored) => item_json(&change.key, stored),
        None => json!({"key": change.key, "revision": change.revision, "deleted": true}),
    }
}

fn query_of(query: &str) -> HashMap<String, String> {
    let pairs = query.split('&').filter_map(|p| p.split_once('='));
    let decoded = |v: &str| percent_decode_str(v).decode_utf8_lossy().into_owned();
    pairs.map(|(k, v)| (k.to_owned(), decoded(v))).collect()
}

async fn body_of<T: serde::de::DeserializeOwned>(req: Request<Incoming>) -> Option<T> {
    let body = read_limited(req.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await;
    serde_json::from_slice(&body.ok()?).ok()
}

fn respond(value: &Value) -> Response<Body> {
    Response::new(full(value.to_string()))
}

fn status(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(""));
    *response.status_mut() = code;
    response
}
