//! HTTP endpoints for callers that look up addresses of nodes, and for the platform's readiness checks.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::http::{Body, Handler, PeerIp, full};
use azuresaddle_platform::{READY_PATH, RESOLVE_PATH, decode_caller_domain, encode_addresses};
use azuresaddle_sched::addresses::{Caller, MAX_ADDRESSES, needs_selection, select_addresses};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};

use crate::domain_hash::domain_hash;
use crate::metrics::Metrics;
use crate::snapshot::{Snapshot, Snapshots, address_candidates};

/// Time to live of an answer: callers stop using a stopped node within it, and repeat the lookup once in that time.
const ADDRESS_TTL: Duration = Duration::from_secs(3);

/// Serves the addresses of the nodes and this node's readiness from the latest snapshot.
pub(crate) struct Directory {
    snapshots: Snapshots,
    ttl: Duration,
    metrics: Metrics,
}

impl Directory {
    /// Creates a directory whose answers have a time to live of at most `max_ttl`.
    pub(crate) fn new(snapshots: Snapshots, max_ttl: Duration, metrics: Metrics) -> Arc<Self> {
        Arc::new(Self {
            snapshots,
            ttl: ADDRESS_TTL.min(max_ttl),
            metrics,
        })
    }

    fn resolve(&self, caller: Option<Caller>) -> Response<Body> {
        let addresses = self.addresses(caller);
        if addresses.is_empty() {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let json = encode_addresses(&addresses, self.ttl.as_secs_f64());
        let mut response = Response::new(full(json));
        let kind = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, kind);
        response
    }

    /// Selects addresses for the caller, or returns the first of one ranking if all callers are to get the same.
    fn addresses(&self, caller: Option<Caller>) -> Vec<SocketAddr> {
        let snapshot = self.snapshots.load();
        let candidates = address_candidates(&snapshot.nodes, snapshot.owner);
        if let Some(caller) = caller.filter(|_| needs_selection(&candidates)) {
            self.metrics.on_lookup("selected");
            return select_addresses(&candidates, caller);
        }
        self.metrics.on_lookup("ranked");
        let ranked = candidates.iter().take(MAX_ADDRESSES);
        ranked.map(|n| n.addr).collect()
    }
}

impl Handler for Directory {
    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        match req.uri().path() {
            RESOLVE_PATH => self.resolve(caller(&req)),
            READY_PATH if is_ready(&self.snapshots.load()) => status(StatusCode::OK),
            READY_PATH => status(StatusCode::SERVICE_UNAVAILABLE),
            _ => status(StatusCode::NOT_FOUND),
        }
    }
}

/// Returns the caller that looks up addresses; `None` if it does not state its failure domain.
fn caller(req: &Request<Incoming>) -> Option<Caller> {
    let PeerIp(ip) = req.extensions().get()?;
    let domain = decode_caller_domain(req.uri().query()?)?;
    Some(Caller::from_ip(*ip, domain_hash(&domain)))
}

/// Whether this node should receive callers.
fn is_ready(snapshot: &Snapshot) -> bool {
    snapshot.configuration.is_some() && !snapshot.is_leaving
}

fn status(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(""));
    *response.status_mut() = code;
    response
}
