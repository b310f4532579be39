//! One send of a request to a plain service, whose answer is read completely before it is forwarded.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::bounded_time::scaled;
use azuresaddle_core::byte_budget::{HeldBytes, HeldFor, read_held};
use azuresaddle_core::deployment::TargetEntry;
use azuresaddle_core::prelude::*;
use azuresaddle_platform::headers;
use azuresaddle_sched::target_health::SendOutcome;
use hyper::body::{Body, Incoming};
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use tokio::sync::watch;
use tokio::time::Instant;

use super::attempt::{SendFailure, keep_alive, send, time_until};
use super::body::ProxyBody;
use super::forwarder::Forwarder;
use super::head::{ForwardRequest, SendOptions, strip_hop_by_hop};
use super::plain::answer_limits;
use super::plain_connect::{connect_plain, connect_timeout};
use super::room_claims::RoomClaims;
use super::sends_in_flight::SendResult;
use crate::targets::{Connection, InFlightGuard};

/// Longest answer that is accepted, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Silence of a target after which another one may get an idempotent request as well, in multiples of the latency target.
const SILENCE_FACTOR: f64 = 1.6;

/// Complete answer of a target.
pub(super) struct TargetAnswer {
    pub(super) status: StatusCode,
    headers: HeaderMap,
    body: HeldBytes,
}

impl TargetAnswer {
    pub(super) fn into_response(self) -> Response<ProxyBody> {
        let mut response = Response::new(ProxyBody::held(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }

    /// Whether the target ran the request and answered with a server error.
    pub(super) fn is_failure(&self) -> bool {
        self.status.is_server_error()
    }
}

/// A target with the guard that counts the request there.
pub(super) type ChosenTarget = (Arc<TargetEntry>, InFlightGuard);

/// Sends a request once and records the outcome for the nodes that share what they observe.
///
/// If the target is silent for too long, it is recorded as not answering and `silence` is set, but its answer is still
/// awaited: a silent target may be sound and answer later.
pub(super) async fn send_observed<N: Network>(
    cx: &Arc<Forwarder<N>>,
    req: &ForwardRequest,
    target: Arc<TargetEntry>,
    connect_timeout: Duration,
    silence: watch::Sender<bool>,
    room: &RoomClaims,
) -> SendResult {
    let started_at = Instant::now();
    let connection = connect_plain(cx, &target, connect_timeout).await?;
    let mut sending = std::pin::pin!(send_plain(cx, req, &target, connection, room));
    if let Ok(result) = tokio::time::timeout(silence_limit(req), &mut sending).await {
        if let Some(outcome) = outcome_of(cx, req, &target, &result, started_at.elapsed()) {
            cx.observe(&target, outcome);
        }
        return result;
    }
    cx.observe(&target, SendOutcome::NoAnswer);
    if req.is_idempotent() {
        log_silence(req, &target);
    }
    silence.send_replace(true);
    let result = sending.await;
    if result.is_ok() {
        cx.observe(&target, SendOutcome::Slow);
    }
    result
}

/// Logs that `target` is silent, so that another target is searched for the request.
fn log_silence(req: &ForwardRequest, target: &TargetEntry) {
    tracing::info!(
        part = "forward",
        request = req.head.id(),
        target = %target.id,
        age_ms = req.arrived.elapsed().as_millis() as u64,
        "target is silent"
    );
}

/// What a send on an open connection says about its target; `None` if nothing.
fn outcome_of<N: Network>(
    cx: &Forwarder<N>,
    req: &ForwardRequest,
    target: &TargetEntry,
    result: &SendResult,
    took: Duration,
) -> Option<SendOutcome> {
    match result {
        Ok(answer) if answer.is_failure() => Some(SendOutcome::ServerError),
        Ok(_) if cx.health.is_slow(&target.id, took) => Some(SendOutcome::Slow),
        Ok(_) => Some(SendOutcome::Answered),
        Err(SendFailure::Declined { at_fault: None, .. }) => Some(SendOutcome::Refused),
        Err(SendFailure::Broken(_) | SendFailure::Stalled { .. }) => Some(SendOutcome::NoAnswer),
        // Shortly before its deadline a request waits for less than answers usually take.
        Err(SendFailure::TimedOut) => {
            (took >= req.route.latency_target).then_some(SendOutcome::NoAnswer)
        }
        Err(
            SendFailure::Declined { .. }
            | SendFailure::NotSent(_)
            | SendFailure::ConnectTimeout
            | SendFailure::NoPath
            | SendFailure::InBackOff
            | SendFailure::Stopping
            | SendFailure::Superfluous
            | SendFailure::WrongTarget
            | SendFailure::Overtaken
            | SendFailure::NoRoom,
        ) => None,
    }
}

/// Longest wait for a connection.
pub(super) fn connect_limit<N: Network>(
    cx: &Forwarder<N>,
    req: &ForwardRequest,
    target: &TargetEntry,
    exclude: &[HostName],
    may_retry: bool,
) -> Duration {
    let left = time_until(req.deadline);
    let limit = if may_retry {
        silence_limit(req).min(left)
    } else {
        left
    };
    if cx.has_other_target(&req.service, &target.id, exclude) {
        connect_timeout(req.arrived + req.route.latency_target, req.deadline).min(limit)
    } else {
        limit
    }
}

/// Time without an answer after which a target counts as silent.
pub(super) fn silence_limit(req: &ForwardRequest) -> Duration {
    scaled(req.route.latency_target, SILENCE_FACTOR)
}

async fn send_plain<N: Network>(
    cx: &Forwarder<N>,
    req: &ForwardRequest,
    target: &Arc<TargetEntry>,
    mut connection: Connection,
    room: &RoomClaims,
) -> SendResult {
    let options = SendOptions {
        target: &target.id,
        last_event_id: req.head.last_event_id.as_ref(),
        helpers: None,
    };
    let outgoing = req.for_target(&options);
    let id = &req.head.attempt_id;
    if !req.gate.try_send() {
        return Err(SendFailure::Stopping);
    }
    let response = send(
        cx,
        target,
        &mut connection,
        outgoing,
        id,
        time_until(req.deadline),
    )
    .await?;
    let (parts, body) = response.into_parts();
    if let Some((running, waiting, _)) = parts
        .headers
        .get(&headers::TARGET_LOAD)
        .and_then(headers::parse_load)
    {
        cx.health
            .on_load(&target.id, running.saturating_add(waiting));
    }
    let body = read_answer(cx, req, parts.status, body, room).await?;
    if let Some(kept) = keep_alive(&parts.headers) {
        connection.return_to_pool(kept.0);
    }
    let mut headers = parts.headers;
    strip_hop_by_hop(&mut headers);
    Ok(TargetAnswer {
        status: parts.status,
        headers,
        body,
    })
}

/// Reads the body of an answer.
///
/// If the byte budget has no room for an answer without a server error, the other sends of the request give up their memory.
async fn read_answer<N: Network>(
    cx: &Forwarder<N>,
    req: &ForwardRequest,
    status: StatusCode,
    body: Incoming,
    room: &RoomClaims,
) -> Result<HeldBytes, SendFailure> {
    let budget = cx.budget_of(req);
    let length = body.size_hint().lower();
    if !status.is_server_error() && budget.try_take(HeldFor::Caller, length).is_none() {
        room.claim();
    }
    let claimed = room.claimed();
    let limits = answer_limits(MAX_ANSWER_BYTES, req.deadline);
    tokio::select! {
        biased;
        body = read_held(body, &budget, &limits) => Ok(body?),
        () = claimed => Err(SendFailure::NoRoom),
    }
}
