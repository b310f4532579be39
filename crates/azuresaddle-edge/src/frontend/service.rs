//! Handles the requests of callers.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::bounded_time::scaled;
use azuresaddle_core::byte_budget::{
    AccountBudget, HeldBytes, HeldFor, ReadError, ReadLimits, WhenFull, read_held,
};
use azuresaddle_core::deployment::{Configuration, RequestLimits};
use azuresaddle_core::prelude::*;
use azuresaddle_platform::headers;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use rand::Rng;
use tokio::time::Instant;

use super::admission::{Admitted, Rejection, admit};
use crate::forward::{
    ForwardRequest, Forwarder, InFlightAnswerGuard, InFlightAnswers, ProxyBody, RequestHead,
    SendGate, fingerprint_of, problem_response, prompt_parts_of, refusal, stopping_refusal,
};
use crate::shutdown::{Shutdown, ShutdownStage};
use crate::snapshot::{Snapshot, Snapshots};

/// Longest wait of a request until the node has its first configuration. Loading takes this long if hundreds of nodes
/// start at the same time and read from one store.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(1000);

/// Part of a request's time limit that it may spend on this wait. The rest is for the answer, or for a retry.
const CONFIGURATION_WAIT_SHARE: f64 = 0.25;

/// Time limit of a caller that states none; longer than the timeout of any route.
const DEFAULT_TIME_LEFT: Duration = Duration::from_secs(86_400);

/// `Retry-After` if the node has no configuration yet, or the route has no service.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// `Retry-After` if the node may not have the latest configuration. Other nodes have it, so the caller may retry at once.
const OUTDATED_RETRY_AFTER: Duration = Duration::from_millis(100);

/// `Retry-After` if the body does not fit into the byte budget. Most requests end within this time and return their bytes.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_millis(500);

/// An answer for a caller.
pub(super) struct Answer {
    pub(super) response: Response<ProxyBody>,
    /// Counts the answer until it is written.
    pub(super) in_flight: InFlightAnswerGuard,
    /// Id of the attempt.
    pub(super) request: Option<Box<str>>,
    /// Until when the answer is kept for a caller that does not read it.
    pub(super) keep_until: Instant,
}

/// Why the body of a request was not read.
enum BodyFailure {
    /// It does not fit into the byte budget.
    NoRoom,
    /// The caller is at fault.
    Rejected(Rejection),
    /// The node stops.
    Stopping,
}

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

    /// The budget for long heads, whose client account is not known yet.
    pub(super) fn head_budget(&self) -> AccountBudget {
        self.forwarder.budget().account(&ClientAccount::new(""))
    }

    /// The request limits that are in force.
    pub(super) fn limits(&self) -> RequestLimits {
        let snapshot = self.snapshots.load();
        let configuration = snapshot.configuration.as_ref();
        configuration.map_or_else(RequestLimits::default, |c| c.limits)
    }

    /// Answers one request.
    pub(super) async fn handle(&self, req: Request<Incoming>) -> Answer {
        let arrived = Instant::now();
        let in_flight = self.in_flight.begin();
        let attempt_id = req.headers().get(&headers::ATTEMPT_ID).cloned();
        let (mut response, keep_until) = match self.read_request(arrived, req).await {
            Ok(req) => {
                let deadline = req.deadline;
                (self.forwarder.forward(req).await, deadline)
            }
            Err(response) => (*response, arrived),
        };
        let request = attempt_id.as_ref().and_then(|id| id.to_str().ok());
        let request = request.map(Box::from);
        if let Some(id) = attempt_id {
            response
                .headers_mut()
                .entry(headers::ATTEMPT_ID)
                .or_insert(id);
        }
        Answer {
            response,
            in_flight,
            request,
            keep_until,
        }
    }

    /// Reads a request and finds its route and account.
    ///
    /// # Errors
    /// The answer to a request that is rejected or refused.
    async fn read_request(
        &self,
        arrived: Instant,
        req: Request<Incoming>,
    ) -> Result<ForwardRequest, Box<Response<ProxyBody>>> {
        if self.shutdown.stage() >= ShutdownStage::Refusing {
            // The node may have failed, and then its configuration may be old.
            return Err(refuse_stopping(req.headers()));
        }
        let snapshot = self.configured_snapshot(req.headers()).await;
        let Some(configuration) = &snapshot.configuration else {
            let detail = "the node has no configuration yet";
            return Err(refuse(req.headers(), detail, UNCONFIGURED_RETRY_AFTER));
        };
        let (parts, body) = req.into_parts();
        let version = configuration.version;
        let admitted = admit(configuration, &parts.method, &parts.uri, &parts.headers)
            .map_err(|rejection| self.reject(&parts.headers, version, rejection))?;
        let attempt_id = parts.headers.get(&headers::ATTEMPT_ID).cloned();
        let attempt_id = attempt_id.ok_or_else(|| {
            let status = StatusCode::BAD_REQUEST;
            let rejection = Rejection::new(status, "no attempt id");
            self.reject(&parts.headers, version, rejection)
        })?;
        let deadline = arrived + time_limit(&admitted, &parts.headers);
        let body = tokio::select! {
            biased;
            () = self.shutdown.until(ShutdownStage::Refusing) => Err(BodyFailure::Stopping),
            body = self.read_body(configuration, &admitted, body, deadline) => body,
        };
        let body = body.map_err(|failure| match failure {
            BodyFailure::Rejected(rejection) => self.reject(&parts.headers, version, rejection),
            BodyFailure::NoRoom => self.refuse_body(&parts.headers),
            BodyFailure::Stopping => refuse_stopping(&parts.headers),
        })?;
        let at = rand::rng().random_range(0.0..1.0);
        let service = admitted.route.pick_service(at).cloned().ok_or_else(|| {
            let detail = "the route sends to no service";
            refuse(&parts.headers, detail, UNCONFIGURED_RETRY_AFTER)
        })?;
        let head = RequestHead::new(parts.method, parts.uri, parts.headers, attempt_id);
        Ok(ForwardRequest {
            fingerprint: fingerprint_of(&head, admitted.account.as_deref(), body.as_slice()),
            prompt_parts: prompt_parts_of(&head, &service),
            head,
            body,
            route: admitted.route,
            service,
            account: admitted.account,
            arrived,
            deadline,
            gate: SendGate::default(),
        })
    }

    /// The current snapshot. If the node has just started, waits until there is a configuration or the wait times out.
    ///
    /// Callers whose node was killed retry while it restarts, many of them for the last time. If 295 nodes start at the
    /// same time, the configuration is loaded after 0.24 s, a large one after 1.0 s (median over the nodes, from their
    /// logs). With a wait of at most 0.1 s, 245 and 611 callers were refused.
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
        // If this times out, the request is refused, since there is no configuration.
        let timeout = scaled(caller_time_left(map), CONFIGURATION_WAIT_SHARE);
        let _ = tokio::time::timeout(timeout.min(CONFIGURATION_TIMEOUT), wait).await;
        self.snapshots.load()
    }

    /// Reads the body of a request. A caller that sends nothing of it for as long as it may take for a head is given up.
    async fn read_body(
        &self,
        configuration: &Configuration,
        admitted: &Admitted,
        body: Incoming,
        deadline: Instant,
    ) -> Result<HeldBytes, BodyFailure> {
        if body.is_end_stream() {
            return Ok(HeldBytes::default());
        }
        let account = admitted.account.as_ref().map(|a| a.name.clone());
        let account = account.unwrap_or_else(|| ClientAccount::new(""));
        let limits = ReadLimits {
            held_for: HeldFor::Target,
            max_bytes: configuration.limits.max_body_bytes,
            max_pause: configuration.limits.header_timeout,
            end: deadline,
            when_full: WhenFull::Fail,
        };
        let budget = self.forwarder.budget().account(&account);
        let reject = |status, detail| BodyFailure::Rejected(Rejection::new(status, detail));
        read_held(body, &budget, &limits)
            .await
            .map_err(|e| match e {
                ReadError::NoRoom => BodyFailure::NoRoom,
                ReadError::TooLarge(_) => {
                    reject(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long")
                }
                ReadError::TooSlow => reject(
                    StatusCode::REQUEST_TIMEOUT,
                    "the body did not arrive in time",
                ),
                ReadError::Broken(_) => reject(StatusCode::BAD_REQUEST, "the body broke off"),
            })
    }

    /// Refuses a request whose body does not fit into the byte budget. The connection is closed, since the body follows
    /// on it.
    fn refuse_body(&self, map: &HeaderMap) -> Box<Response<ProxyBody>> {
        self.forwarder.metrics().body_refusals.inc();
        let detail = "the node has no memory for the body";
        let mut response = refuse(map, detail, NO_ROOM_RETRY_AFTER);
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
        response
    }

    /// Logs and counts a caller that was disconnected since it did not read its answer.
    pub(super) fn on_slow_reader(&self, request: Option<&str>) {
        tracing::info!(
            part = "frontend",
            request,
            "disconnected a caller that does not read"
        );
        self.forwarder.metrics().on_slow_reader("caller");
    }

    /// Logs and answers a rejected request, or refuses it if a newer configuration may allow it. The connection is closed, since unread bytes of the request may follow on it;
    /// it stays open after an unknown route or key.
    ///
    /// The log has the version that decided and how recent it is, which tell a caller's fault from that of a node that is
    /// behind.
    fn reject(
        &self,
        map: &HeaderMap,
        version: RulesVersion,
        rejection: Rejection,
    ) -> Box<Response<ProxyBody>> {
        let now = Instant::now();
        let progress = self.snapshots.progress();
        if rejection.depends_on_configuration() && progress.may_be_outdated(now) {
            let detail = "the node may not have the latest configuration";
            return refuse(map, detail, OUTDATED_RETRY_AFTER);
        }
        tracing::info!(
            part = "frontend",
            request = map
                .get(&headers::ATTEMPT_ID)
                .and_then(|id| id.to_str().ok()),
            status = rejection.status.as_u16(),
            reason = rejection.detail,
            configuration = version.0,
            control_age_ms = progress.idle_for(now).as_millis() as u64,
            store_age_ms = progress.store_age(now).map(|age| age.as_millis() as u64),
            "request rejected"
        );
        let mut response = problem_response(rejection.status, rejection.detail);
        if !rejection.depends_on_configuration() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        Box::new(response)
    }
}

/// Logs and refuses a request that was not sent to any target.
fn refuse(
    map: &HeaderMap,
    detail: &'static str,
    retry_after: Duration,
) -> Box<Response<ProxyBody>> {
    log_refusal(map, detail);
    Box::new(refusal(detail, retry_after))
}

/// Logs and refuses a request since the node stops. A part of its body may be unread, but the connection is closed in any
/// case.
fn refuse_stopping(map: &HeaderMap) -> Box<Response<ProxyBody>> {
    log_refusal(map, "the node is stopping");
    Box::new(stopping_refusal())
}

fn log_refusal(map: &HeaderMap, reason: &'static str) {
    tracing::info!(
        part = "frontend",
        request = map
            .get(&headers::ATTEMPT_ID)
            .and_then(|id| id.to_str().ok()),
        status = StatusCode::SERVICE_UNAVAILABLE.as_u16(),
        reason,
        "request rejected"
    );
}

/// Time limit of a request from its arrival: the caller's, or the route's timeout if it is shorter.
fn time_limit(admitted: &Admitted, map: &HeaderMap) -> Duration {
    caller_time_left(map).min(admitted.route.timeout)
}

/// Time limit stated by the caller; a day if it states none.
fn caller_time_left(map: &HeaderMap) -> Duration {
    let stated = map
        .get(&headers::TIME_LEFT_MS)
        .and_then(headers::parse_number);
    stated
        .map_or(DEFAULT_TIME_LEFT, Duration::from_millis)
        .min(DEFAULT_TIME_LEFT)
}
