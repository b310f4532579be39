//! HTTP endpoints for callers that look up addresses of nodes, and for the platform's readiness checks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::http::{Body, Handler, full};
use azuresaddle_platform::{READY_PATH, RESOLVE_PATH, encode_addresses};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};

use crate::snapshot::{Snapshot, Snapshots};

/// Time to live of an answer: callers stop using a stopped node within it, and repeat the lookup once in that time.
const ADDRESS_TTL: Duration = Duration::from_secs(3);

/// Most addresses in an answer.
pub(crate) const MAX_ADDRESSES: usize = 64;

/// Serves the addresses of the nodes and this node's readiness from the latest snapshot.
pub(crate) struct Directory {
    snapshots: Snapshots,
    ttl: Duration,
}

impl Directory {
    /// Creates a directory whose answers have a time to live of at most `max_ttl`.
    pub(crate) fn new(snapshots: Snapshots, max_ttl: Duration) -> Arc<Self> {
        Arc::new(Self {
            snapshots,
            ttl: ADDRESS_TTL.min(max_ttl),
        })
    }

    fn resolve(&self) -> Response<Body> {
        let snapshot = self.snapshots.load();
        let nodes = snapshot.nodes.iter().filter(|n| n.takes_callers);
        let addresses: Vec<SocketAddr> =
            nodes.map(|n| n.callers_addr).take(MAX_ADDRESSES).collect();
        if addresses.is_empty() {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let json = encode_addresses(&addresses, self.ttl.as_secs_f64());
        let mut response = Response::new(full(json));
        let kind = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, kind);
        response
    }
}

impl Handler for Directory {
    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        match req.uri().path() {
            RESOLVE_PATH => self.resolve(),
            READY_PATH if is_ready(&self.snapshots.load()) => status(StatusCode::OK),
            READY_PATH => status(StatusCode::SERVICE_UNAVAILABLE),
            _ => status(StatusCode::NOT_FOUND),
        }
    }
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
