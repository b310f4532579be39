//! HTTP interface of the stand-in store; see [`azuresaddle_store::wire`].

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azuresaddle_core::http::{Body, Handler, ServerLimits, json, problem, serve};
use azuresaddle_core::prelude::*;
use azuresaddle_store::wire::{
    GetResponse, GrantLeaseRequest, GrantLeaseResponse, LeaseState, PutRequest, PutResponse,
};
use azuresaddle_store::{LeaseId, Revision};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use tokio::sync::watch;
use tokio::time::Instant;

use super::faults::StoreFaults;
use super::model::{CallCounts, StoreModel};
use crate::http_util::{bad_request, query_param};

/// Maximum size of a request body, in bytes: the largest value and some space for the JSON around it.
const MAX_BODY_BYTES: usize = (1 << 20) + 4096;

/// Timeout for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time that a watch waits for a change.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

/// A running stand-in store.
#[derive(Clone)]
pub struct StoreServer {
    shared: Arc<Shared>,
    addr: SocketAddr,
}

struct Shared {
    model: Mutex<StoreModel>,
    faults: Mutex<StoreFaults>,
    changed: watch::Sender<u64>,
}

impl StoreServer {
    /// Binds the address and starts to serve.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound.
    pub async fn bind<N: Network>(
        net: &N,
        addr: SocketAddr,
        spawner: &Spawner,
    ) -> std::io::Result<Self> {
        let listener = net.bind(addr).await?;
        let addr = listener.local_addr();
        let shared = Arc::new(Shared {
            model: Mutex::default(),
            faults: Mutex::default(),
            changed: watch::Sender::new(0),
        });
        let handler = Arc::new(StoreHandler {
            shared: Arc::clone(&shared),
        });
        serve(listener, spawner.clone(), ServerLimits::default(), handler);
        Ok(Self { shared, addr })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        *self.shared.faults() = faults;
    }

    /// Returns the active faults.
    pub fn faults(&self) -> StoreFaults {
        *self.shared.faults()
    }

    /// Returns the number of calls so far, by kind.
    pub fn counts(&self) -> CallCounts {
        self.shared.model().counts
    }
}

impl Shared {
    fn model(&self) -> MutexGuard<'_, StoreModel> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults(&self) -> MutexGuard<'_, StoreFaults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Decrements a fault counter; returns `true` if it was above zero.
    fn take_fault(&self, count: impl FnOnce(&mut StoreFaults) -> &mut u32) -> bool {
        let mut faults = self.faults();
        let count = count(&mut faults);
        let some_left = *count > 0;
        *count = count.saturating_sub(1);
        some_left
    }
}

struct StoreHandler {
    shared: Arc<Shared>,
}

impl StoreHandler {
    async fn route(&self, req: Request<Incoming>) -> Result<Response<Body>, Problem> {
        let method = req.method().clone();
        let path = req.uri().path().to_owned();
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (method, segments.as_slice()) {
            (Method::PUT, ["faults"]) => {
                *self.shared.faults() = read(req).await?;
                return Ok(json(StatusCode::OK, &*self.shared.faults()));
            }
            (Method::GET, ["counts"]) => {
                return Ok(json(StatusCode::OK, &self.shared.model().counts));
            }
            _ => {}
        }
        let silent = self.shared.take_fault(|f| &mut f.silent_calls);
        if silent || self.shared.faults().down {
            std::future::pending::<()>().await;
        }
        let delay = Duration::from_millis(self.shared.faults().delay_ms);
        tokio::time::sleep(delay).await;
        match (req.method().clone(), segments.as_slice()) {
            (Method::GET, ["v1", "keys"]) => {
                let key = query_param(&req, "key").ok_or_else(|| bad_request("key is missing"))?;
                let entry = self.shared.model().get(&key);
                Ok(json(StatusCode::OK, &GetResponse { entry }))
            }
            (Method::PUT, ["v1", "keys"]) => self.put(req).await,
            (Method::POST, ["v1", "leases"]) => {
                let grant: GrantLeaseRequest = read(req).await?;
                let ttl = Duration::from_millis(grant.ttl_ms);
                let lease = self.shared.model().grant(Instant::now(), ttl);
                Ok(json(StatusCode::OK, &GrantLeaseResponse { lease }))
            }
            (Method::PUT, ["v1", "leases", id]) => {
                if self.shared.take_fault(|f| &mut f.lose_renewals) {
                    std::future::pending::<()>().await;
                }
                let alive = self.shared.model().renew(Instant::now(), lease_id(id)?);
                Ok(json(StatusCode::OK, &LeaseState { alive }))
            }
            (Method::GET, ["v1", "leases", id]) => {
                let alive = self.shared.model().is_alive(Instant::now(), lease_id(id)?);
                Ok(json(StatusCode::OK, &LeaseState { alive }))
            }
            (Method::GET, ["v1", "watch"]) => self.watch(&req).await,
            _ => Err(bad_request("unknown path")),
        }
    }

    async fn put(&self, req: Request<Incoming>) -> Result<Response<Body>, Problem> {
        let key = query_param(&req, "key").ok_or_else(|| bad_request("key is missing"))?;
        let PutRequest { value, expected } = read(req).await?;
        let result = self.shared.model().compare_and_swap(&key, value, expected);
        if result.is_ok() {
            self.shared.changed.send_modify(|n| *n += 1);
            if self.shared.take_fault(|f| &mut f.lose_write_answers) {
                std::future::pending::<()>().await;
            }
        }
        Ok(match result {
            Ok(version) => json(StatusCode::OK, &PutResponse { version }),
            Err(entry) => json(StatusCode::CONFLICT, &GetResponse { entry }),
        })
    }

    async fn watch(&self, req: &Request<Incoming>) -> Result<Response<Body>, Problem> {
        let prefix = query_param(req, "prefix").unwrap_or_default();
        let number = |name| query_param(req, name).and_then(|text| text.parse().ok());
        let after = Revision(number("after").unwrap_or(0));
        let wait = Duration::from_millis(number("wait-ms").unwrap_or(0)).min(MAX_WATCH_WAIT);
        self.shared.model().counts.watches += 1;
        let deadline = Instant::now() + wait;
        let mut changed = self.shared.changed.subscribe();
        loop {
            let changes = self.shared.model().changes(&prefix, after);
            if !changes.entries.is_empty() || after == Revision(0) {
                return Ok(json(StatusCode::OK, &changes));
            }
            let next = tokio::time::timeout_at(deadline, changed.changed()).await;
            if self.shared.faults().down {
                std::future::pending::<()>().await;
            }
            if next.is_err() {
                return Ok(json(StatusCode::OK, &changes));
            }
        }
    }
}

impl Handler for StoreHandler {
    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        match self.route(req).await {
            Ok(response) => response,
            Err(p) => problem(&p),
        }
    }
}

fn lease_id(text: &str) -> Result<LeaseId, Problem> {
    text.parse()
        .map(LeaseId)
        .map_err(|_| bad_request("bad lease id"))
}

async fn read<T: DeserializeOwned>(req: Request<Incoming>) -> Result<T, Problem> {
    crate::http_util::read_json(req, MAX_BODY_BYTES, BODY_TIMEOUT).await
}
