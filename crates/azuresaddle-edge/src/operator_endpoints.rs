//! HTTP endpoints for operators: metrics, service-level counts, ejected targets, and the quarantine, which they can lift
//! for a request.

use std::sync::Arc;

use azuresaddle_core::burn::BurnRecorder;
use azuresaddle_core::byte_budget::ByteBudget;
use azuresaddle_core::http::{Body, Handler, full};
use azuresaddle_core::prelude::*;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use tokio::time::Instant;

use crate::ejected_target_info::EjectedTargetInfo;
use crate::metrics::Metrics;
use crate::quarantine::SharedQuarantine;
use crate::snapshot::Snapshots;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Path of the service-level counts, as JSON for `azuresaddle burn`.
pub const BURN_PATH: &str = "/burn";

/// Path of the list of quarantined requests, as JSON for `azuresaddle quarantine`. A `DELETE` of a fingerprint below it
/// lifts the quarantine of that request.
pub const QUARANTINE_PATH: &str = "/quarantine";

/// Path of the list of ejected targets, as JSON for `azuresaddle targets`.
pub const TARGETS_PATH: &str = "/targets";

/// Content type of the metrics.
const TEXT_FORMAT: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Content type of the other endpoints.
const JSON_FORMAT: &str = "application/json";

/// Serves the metrics, the service-level counts, the ejected targets and the quarantine.
pub(crate) struct OperatorEndpoints {
    pub(crate) metrics: Metrics,
    pub(crate) burn: Arc<BurnRecorder>,
    pub(crate) quarantine: Arc<SharedQuarantine>,
    pub(crate) snapshots: Snapshots,
    pub(crate) budget: ByteBudget,
}

impl OperatorEndpoints {
    fn ejected_targets(&self) -> Vec<EjectedTargetInfo> {
        let now = Instant::now();
        let snapshot = self.snapshots.load();
        let ejected = snapshot.target_verdicts.ejected().iter();
        ejected.map(|e| EjectedTargetInfo::new(now, e)).collect()
    }

    fn lift_quarantine(&self, fingerprint: &str) -> Response<Body> {
        let Ok(fingerprint) = fingerprint.parse::<Fingerprint>() else {
            return status(StatusCode::BAD_REQUEST);
        };
        if self.quarantine.lift_quarantine_everywhere(fingerprint) {
            status(StatusCode::NO_CONTENT)
        } else {
            status(StatusCode::NOT_FOUND)
        }
    }
}

impl Handler for OperatorEndpoints {
    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path();
        let below = |parent: &str| path.strip_prefix(parent)?.strip_prefix('/');
        match path {
            METRICS_PATH => {
                self.metrics.set_held_bytes(&self.budget);
                self.metrics.set_progress(self.snapshots.progress());
                page(self.metrics.text(), TEXT_FORMAT)
            }
            BURN_PATH => json(&self.burn.counts(Instant::now())),
            QUARANTINE_PATH => json(&self.quarantine.list()),
            TARGETS_PATH => json(&self.ejected_targets()),
            _ => match below(QUARANTINE_PATH) {
                Some(fingerprint) if req.method() == Method::DELETE => {
                    self.lift_quarantine(fingerprint)
                }
                _ => status(StatusCode::NOT_FOUND),
            },
        }
    }
}

fn json<T: Serialize>(value: &T) -> Response<Body> {
    let json = serde_json::to_vec(value).expect("values of the page serialize");
    page(json, JSON_FORMAT)
}

fn page(body: impl Into<Bytes>, format: &'static str) -> Response<Body> {
    let mut response = Response::new(full(body));
    let format = HeaderValue::from_static(format);
    response.headers_mut().insert(CONTENT_TYPE, format);
    response
}

fn status(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(""));
    *response.status_mut() = code;
    response
}
