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
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::domain_hash::domain_hash;
use crate::metrics::Metrics;
use crate::snapshot::{Snapshots, address_candidates};

/// Time to live of an answer: callers stop using a stopped node within it, and repeat the lookup once in that time.
const ADDRESS_TTL: Duration = Duration::from_secs(3);

/// Time since control's last check after which a node does not know the present configuration well enough to receive
/// callers.
const MAX_CONTROL_AGE: Duration = Duration::from_secs(3);

/// Serves the addresses of the nodes and this node's readiness from the latest snapshot.
pub(crate) struct Directory {
    snapshots: Snapshots,
    /// Address of this node for callers.
    own_addr: SocketAddr,
    /// Cancelled when this node stops.
    leaving: CancellationToken,
    ttl: Duration,
    metrics: Metrics,
}

/// Dependencies of a [`Directory`].
pub(crate) struct DirectoryParts {
    pub(crate) snapshots: Snapshots,
    /// Address of this node for callers.
    pub(crate) own_addr: SocketAddr,
    /// Cancelled when this node stops.
    pub(crate) leaving: CancellationToken,
    /// Longest time to live of an answer.
    pub(crate) max_ttl: Duration,
    pub(crate) metrics: Metrics,
}

impl Directory {
    pub(crate) fn new(parts: DirectoryParts) -> Arc<Self> {
        Arc::new(Self {
            snapshots: parts.snapshots,
            own_addr: parts.own_addr,
            leaving: parts.leaving,
            ttl: ADDRESS_TTL.min(parts.max_ttl),
            metrics: parts.metrics,
        })
    }

    /// Whether this node should receive callers.
    fn is_ready(&self) -> bool {
        let snapshot = self.snapshots.load();
        let control_age = self.snapshots.progress().idle_for(Instant::now());
        snapshot.configuration.is_some()
            && !snapshot.is_leaving
            && !self.leaving.is_cancelled()
            && control_age < MAX_CONTROL_AGE
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
        let mut candidates = address_candidates(&snapshot.nodes, snapshot.owner);
        if self.leaving.is_cancelled() {
            // Control publishes this too, but may have failed.
            candidates.retain(|n| n.addr != self.own_addr);
        }
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
            READY_PATH if self.is_ready() => status(StatusCode::OK),
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

fn status(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(""));
    *response.status_mut() = code;
    response
}
