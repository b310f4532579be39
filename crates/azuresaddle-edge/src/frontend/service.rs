//! Handles the requests of callers.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::deployment::{Configuration, RequestLimits};
use azuresaddle_core::http::{BodyError, read_limited};
use azuresaddle_core::prelude::*;
use azuresaddle_platform::headers;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use rand::Rng;
use tokio::time::Instant;

use super::admission::{Admitted, Rejection, admit};
use super::shutdown::{Shutdown, ShutdownStage};
use crate::forward::{
    ForwardRequest, Forwarder, InFlightAnswers, ProxyBody, RequestHead, fingerprint_of,
    problem_response, refusal,
};
use crate::snapshot::{Snapshot, Snapshots};

/// Longest wait of a request for the first configuration of a node: what it takes where hundreds of
/// nodes start in one moment and read it from one store.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(1000);

/// Part of a request's own time that it may wait so; the rest is for the answer, or to come back.
const CONFIGURATION_WAIT_SHARE: f64 = 0.25;

/// Stands for the time of a caller that states none; longer than any route's.
const DEFAULT_TIME_LEFT: Duration = Duration::from_secs(86_400);

/// Time to come back to a node that knows no configuration yet.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Time to come back, at another node, to one that is stopping.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Handles the requests of callers.
pub(crate) struct CallerService<N: Network> {
    forwarder: Arc<Forwarder<N>>,
    snapshots: Snapshots,
    shutdown: Arc<Shutdown>,
    in_flight: InFlightAnswers,
}

impl<N: Network> CallerService<N> {
    pub(crate) fn new(
        forwarder: Arc<Forwarder<N>>,
        snapshots: Snapshots,
        shutdown: Arc<Shutdown>,
        in_flight: InFlightAnswers,
    ) -> Arc<Self> {
        Arc::new(Self {
            forwarder,
            snapshots,
            shutdown,
            in_flight,
        })
    }

    pub(super) fn shutdown(&self) -> &Shutdown {
        &self.shutdown
    }

    /// Limits in force.
    pub(super) fn limits(&self) -> RequestLimits {
        let snapshot = self.snapshots.load();
        let configuration = snapshot.configuration.as_ref();
        configuration.map_or_else(RequestLimits::default, |c| c.limits)
    }

    /// Answers one request.
    pub(super) async fn handle(&self, req: Request<Incoming>) -> Response<ProxyBody> {
        let arrived = Instant::now();
        let in_flight = self.in_flight.begin();
        let attempt_id = req.headers().get(&headers::ATTEMPT_ID).cloned();
        let mut response = match self.read_request(arrived, req).await {
            Ok(req) => self.forwarder.forward(req).await,
            Err(response) => *response,
        };
        if let Some(id) = attempt_id {
            response
                .headers_mut()
                .entry(headers::ATTEMPT_ID)
                .or_insert(id);
        }
        response.map(|body| body.with_in_flight_guard(in_flight))
    }

    /// Reads a request and finds its route, or the answer that says why not.
    async fn read_request(
        &self,
        arrived: Instant,
        req: Request<Incoming>,
    ) -> Result<ForwardRequest, Box<Response<ProxyBody>>> {
        let snapshot = self.configured_snapshot(req.headers()).await;
        let Some(configuration) = &snapshot.configuration else {
            let detail = "the node has no configuration yet";
            return Err(refuse(req.headers(), detail, UNCONFIGURED_RETRY_AFTER));
        };
        let (parts, body) = req.into_parts();
        let admitted = admit(configuration, &parts.uri, &parts.headers)
            .map_err(|rejection| self.reject(&parts.headers, rejection))?;
        if self.shutdown.stage() == ShutdownStage::Refusing {
            let detail = "the node is stopping";
            return Err(refuse(&parts.headers, detail, STOPPING_RETRY_AFTER));
        }
        let attempt_id = parts.headers.get(&headers::ATTEMPT_ID).cloned();
        let attempt_id = attempt_id.ok_or_else(|| {
            let status = StatusCode::BAD_REQUEST;
            self.reject(&parts.headers, Rejection::new(status, "no attempt id"))
        })?;
        let deadline = arrived + time_limit(&admitted, &parts.headers);
        let body = self
            .read_body(configuration, body, deadline)
            .await
            .map_err(|rejection| self.reject(&parts.headers, rejection))?;
        let at = rand::rng().random_range(0.0..1.0);
        let service = admitted.route.pick_service(at).cloned().ok_or_else(|| {
            let detail = "the route sends to no service";
            refuse(&parts.headers, detail, UNCONFIGURED_RETRY_AFTER)
        })?;
        let head = RequestHead::new(parts.method, parts.uri, parts.headers, attempt_id);
        Ok(ForwardRequest {
            fingerprint: fingerprint_of(&head, admitted.account.as_deref(), &body),
            head,
            body,
            route: admitted.route,
            service,
            account: admitted.account,
            arrived,
            deadline,
        })
    }

    /// The present snapshot; while the node has only just started, one with a configuration.
    ///
    /// Callers whose node was killed come back in just that time, many for the last time. Where all of 295
    /// nodes start in one moment the configuration comes after 0.24 s, a large one after 1.0 s (median over
    /// the nodes, by their logs); with a wait of at most 0.1 s 245 and 611 callers were refused.
    async fn configured_snapshot(&self, map: &HeaderMap) -> Arc<Snapshot> {
        let snapshot = self.snapshots.load();
        if snapshot.configuration.is_some() {
            return snapshot;
        }
        let mut changes = self.snapshots.subscribe();
        let wait = async {
            while self.snapshots.load().configuration.is_none() {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        // The refusal that follows tells the rest.
        let timeout = caller_time_left(map).mul_f64(CONFIGURATION_WAIT_SHARE);
        let _ = tokio::time::timeout(timeout.min(CONFIGURATION_TIMEOUT), wait).await;
        self.snapshots.load()
    }

    async fn read_body(
        &self,
        configuration: &Configuration,
        body: Incoming,
        deadline: Instant,
    ) -> Result<Bytes, Rejection> {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let limit = configuration.limits.max_body_bytes;
        let too_large = Rejection::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
        if body.size_hint().lower() > limit as u64 {
            return Err(too_large);
        }
        let left = deadline.saturating_duration_since(Instant::now());
        read_limited(body, limit, left).await.map_err(|e| match e {
            BodyError::TooLarge(_) => too_large,
            BodyError::TooSlow(_) => Rejection::new(
                StatusCode::REQUEST_TIMEOUT,
                "the body did not arrive in time",
            ),
            BodyError::Broken => Rejection::new(StatusCode::BAD_REQUEST, "the body broke off"),
        })
    }

    /// Answer to a request that is not taken; the connection is closed, since a rest of the request
    /// may follow on it.
    fn reject(&self, map: &HeaderMap, rejection: Rejection) -> Box<Response<ProxyBody>> {
        tracing::info!(
            part = "frontend",
            request = map
                .get(&headers::ATTEMPT_ID)
                .and_then(|id| id.to_str().ok()),
            status = rejection.status.as_u16(),
            reason = rejection.detail,
            "request not taken"
        );
        let mut response = problem_response(rejection.status, rejection.detail);
        let keeps = matches!(
            rejection.status,
            StatusCode::NOT_FOUND | StatusCode::UNAUTHORIZED
        );
        if !keeps {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        Box::new(response)
    }
}

/// Refuses a request that has gone no further than this node, with a line in the log.
fn refuse(
    map: &HeaderMap,
    detail: &'static str,
    retry_after: Duration,
) -> Box<Response<ProxyBody>> {
    tracing::info!(
        part = "frontend",
        request = map
            .get(&headers::ATTEMPT_ID)
            .and_then(|id| id.to_str().ok()),
        status = StatusCode::SERVICE_UNAVAILABLE.as_u16(),
        reason = detail,
        "request not taken"
    );
    Box::new(refusal(detail, retry_after))
}

/// Time from the arrival until the caller or the operator gives up.
fn time_limit(admitted: &Admitted, map: &HeaderMap) -> Duration {
    caller_time_left(map).min(admitted.route.timeout)
}

/// Time that the caller allows; a day where it states none.
fn caller_time_left(map: &HeaderMap) -> Duration {
    let stated = map.get(&headers::TIME_LEFT_MS).and_then(headers::parse_number);
    stated
        .map_or(DEFAULT_TIME_LEFT, Duration::from_millis)
        .min(DEFAULT_TIME_LEFT)
}
