//! Routes callers' requests to their handlers.

use std::sync::Arc;

use azuresaddle_core::http::{Body, Handler, json, problem};
use azuresaddle_core::prelude::*;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode, Uri};

use super::headers::HEADER_ACCOUNT;
use super::problems;
use super::state::Traffic;

/// HTTP handler of the callers' interface.
pub struct CallerHandler<N> {
    traffic: Arc<Traffic<N>>,
}

impl<N: Network> CallerHandler<N> {
    /// Creates a handler that uses the shared state.
    pub fn new(traffic: Arc<Traffic<N>>) -> Self {
        Self { traffic }
    }

    async fn route(&self, req: Request<Incoming>) -> Result<Response<Body>, Problem> {
        let traffic = Arc::clone(&self.traffic);
        let method = req.method().clone();
        let path = req.uri().path().to_owned();
        let segments: Vec<&str> = path.trim_matches('/').splitn(4, '/').collect();
        match (method, segments.as_slice()) {
            (Method::POST, ["v1", "generate"]) => traffic.generate(req).await,
            (Method::GET, ["v1", "answers", id]) => traffic.resume_answer(req, id).await,
            (_, ["v1", "call", service, rest]) => traffic.call(req, service, rest).await,
            (Method::GET, ["v1", "addresses"]) => {
                let caller = req.headers().get(HEADER_ACCOUNT);
                let caller = caller.and_then(|v| v.to_str().ok()).unwrap_or("");
                let domain = query_value(req.uri(), "failure-domain");
                let answer = traffic.addresses(caller, domain.as_deref());
                Ok(json(StatusCode::OK, &answer))
            }
            (Method::GET, ["healthz"]) => Ok(json(StatusCode::OK, &"ok")),
            (Method::GET, ["readyz"]) => {
                match problems::not_admitting(traffic.snapshot.load().admission) {
                    None => Ok(json(StatusCode::OK, &"ready")),
                    Some(problem) => Err(problem),
                }
            }
            _ => Err(unknown_path(&path)),
        }
    }
}

impl<N: Network> Handler for CallerHandler<N> {
    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        match self.route(req).await {
            Ok(response) => response,
            Err(p) => {
                self.traffic
                    .metrics
                    .count(&format!("traffic.problem.{}", p.title));
                problem(&p)
            }
        }
    }
}

pub(super) fn unknown_path(path: &str) -> Problem {
    let detail = format!("there is no {path:?} with this method");
    Problem::not_run(StatusCode::NOT_FOUND, "unknown-path", detail)
}

/// Returns the value of a query parameter as it stands; percent escapes are not decoded.
pub(super) fn query_value(uri: &Uri, name: &str) -> Option<String> {
    let pairs = uri.query()?.split('&');
    let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.to_owned())
}
