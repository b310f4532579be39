//! Requests to plain services: one answer, taken whole before it is passed on.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::deployment::TargetEntry;
use azuresaddle_core::prelude::*;
use azuresaddle_platform::headers;
use azuresaddle_sched::quarantine::RequestStatus;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use tokio::time::Instant;

use super::answer::{own_answer, refusal};
use super::attempt::{SendFailure, kept_for, send, until};
use super::body::ProxyBody;
use super::crash_check::{check_for_crash, note_good_end};
use super::forwarder::Forwarder;
use super::head::{ForwardRequest, Sending, strip_hop_by_hop};

/// Longest answer that is taken, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Most sends that ended without the request being run; each costs the caller time.
const MAX_DECLINED: u32 = 4;

/// Time for an idempotent request's first send, in latency targets; then another target is tried.
const FIRST_SEND_PATIENCE: f64 = 1.6;

/// Time to come back after all targets declined: about one request's work.
const DECLINED_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Time to come back where no target is known.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Tells why a request is not sent on.
pub(super) const QUARANTINED: &str = "targets crash when they run this request";

/// Whole answer of a target.
struct TargetAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl TargetAnswer {
    fn into_response(self) -> Response<ProxyBody> {
        let mut response = Response::new(ProxyBody::whole(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }

    /// Whether the target failed after it ran the request.
    fn is_failure(&self) -> bool {
        self.status.is_server_error()
    }
}

/// Relays a request to a plain service.
pub(super) async fn forward_plain<N: Network>(
    cx: &Arc<Forwarder<N>>,
    req: &ForwardRequest,
) -> Response<ProxyBody> {
    let mut tries = Tries::default();
    loop {
        if until(req.deadline).is_zero() {
            return tries.give_up(cx, req, StatusCode::GATEWAY_TIMEOUT, "no answer in time");
        }
        if let RequestStatus::Quarantined { left } = cx.quarantine.standing(req.fingerprint) {
            note_quarantined(cx, req);
            return tries.refuse_quarantined(cx, req, left);
        }
        let chosen = cx.choose_target(&req.service, &tries.exclude).await;
        let Some((target, busy)) = chosen else {
            return tries.give_up(
                cx,
                req,
                StatusCode::BAD_GATEWAY,
                "no target takes the request",
            );
        };
        let may_repeat = req.is_idempotent() && tries.runs + 1 < req.route.max_attempts;
        let patience = patience(req, may_repeat);
        let started = Instant::now();
        let result = send_plain(cx, req, &target, patience).await;
        drop(busy);
        if result.as_ref().is_ok_and(|a| a.status.is_success()) {
            note_good_end(cx, req, &target, started);
        }
        match result {
            Ok(answer) if answer.is_failure() && may_repeat && cx.may_repeat(&req.service) => {
                cx.health.on_answer(&target.id, started.elapsed());
                tries.runs += 1;
                tries.exclude.push(target.id.clone());
                tries.last_failure = Some(answer);
            }
            Ok(answer) => {
                cx.metrics.on_send(&req.service, "answered");
                tracing::info!(
                    part = "forward",
                    request = req.head.id(),
                    route = %req.route.name,
                    target = %target.id,
                    status = answer.status.as_u16(),
                    sends = tries.runs + tries.declined + 1,
                    target_ms = req.route.latency_target.as_millis() as u64,
                    age_ms = req.arrived.elapsed().as_millis() as u64,
                    "answered"
                );
                cx.health.on_answer(&target.id, started.elapsed());
                return answer.into_response();
            }
            Err(failure) => {
                note_failure(cx, &target, &failure);
                if failure.verdict() == Verdict::MayHaveRun {
                    check_for_crash(cx, req, &target, started).await;
                }
                tracing::info!(
                    part = "forward",
                    request = req.head.id(),
                    fingerprint = %req.fingerprint,
                    target = %target.id,
                    failure = %failure,
                    sends = tries.runs + tries.declined + 1,
                    "send failed"
                );
                if !tries.may_go_on(cx, req, &target.id, &failure) {
                    return tries.give_up_after(cx, req, &failure);
                }
            }
        }
    }
}

/// Time for one send.
fn patience(req: &ForwardRequest, may_repeat: bool) -> Duration {
    let left = until(req.deadline);
    if !may_repeat {
        return left;
    }
    req.route
        .latency_target
        .mul_f64(FIRST_SEND_PATIENCE)
        .min(left)
}

/// The sends of one request so far.
#[derive(Default)]
struct Tries {
    exclude: Vec<HostName>,
    /// Sends after which the request may have run.
    runs: u32,
    /// Sends after which it did not.
    declined: u32,
    last_failure: Option<TargetAnswer>,
}

impl Tries {
    /// Notes a failed send; whether another one may follow.
    fn may_go_on<N: Network>(
        &mut self,
        cx: &Forwarder<N>,
        req: &ForwardRequest,
        target: &HostName,
        failure: &SendFailure,
    ) -> bool {
        let may_have_run = failure.verdict() != Verdict::NotRun;
        if may_have_run {
            self.runs += 1;
        } else {
            self.declined += 1;
        }
        // A kept connection that broke before the request was written says nothing of the target.
        if !matches!(failure, SendFailure::NotSent(_)) || self.declined > 1 {
            self.exclude.push(target.clone());
        }
        let allowed = failure.verdict().may_retry(req.is_idempotent())
            && self.runs < req.route.max_attempts
            && self.declined < MAX_DECLINED
            && !until(req.deadline).is_zero();
        allowed && (!failure.has_arrived() || cx.may_repeat(&req.service))
    }

    fn give_up_after<N: Network>(
        self,
        cx: &Forwarder<N>,
        req: &ForwardRequest,
        failure: &SendFailure,
    ) -> Response<ProxyBody> {
        match failure {
            SendFailure::Silent => {
                self.give_up(cx, req, StatusCode::GATEWAY_TIMEOUT, "no answer in time")
            }
            _ => self.give_up(cx, req, StatusCode::BAD_GATEWAY, "the target broke off"),
        }
    }

    /// The final answer to a request that crashes its targets.
    fn refuse_quarantined<N: Network>(
        self,
        cx: &Forwarder<N>,
        req: &ForwardRequest,
        left: Duration,
    ) -> Response<ProxyBody> {
        if self.runs > 0 {
            return self.give_up(cx, req, StatusCode::BAD_GATEWAY, QUARANTINED);
        }
        refusal(QUARANTINED, left)
    }

    /// When the caller should come back: not before a target takes requests again.
    fn retry_after<N: Network>(&self, cx: &Forwarder<N>, req: &ForwardRequest) -> Duration {
        let usual = if self.declined > 0 {
            DECLINED_RETRY_AFTER
        } else {
            NO_TARGET_RETRY_AFTER
        };
        let held = cx.retry_in(&req.service);
        held.map_or(usual, |held| held.max(usual))
    }

    /// The final answer: a failure of a target that ran the request, or the node's own.
    fn give_up<N: Network>(
        self,
        cx: &Forwarder<N>,
        req: &ForwardRequest,
        status: StatusCode,
        detail: &str,
    ) -> Response<ProxyBody> {
        tracing::info!(
            part = "forward",
            request = req.head.id(),
            route = %req.route.name,
            runs = self.runs,
            declined = self.declined,
            target_ms = req.route.latency_target.as_millis() as u64,
            age_ms = req.arrived.elapsed().as_millis() as u64,
            left_ms = until(req.deadline).as_millis() as u64,
            retry_in_ms = cx.retry_in(&req.service).map(|held| held.as_millis() as u64),
            reason = detail,
            "given up"
        );
        if let Some(answer) = self.last_failure {
            return answer.into_response();
        }
        if self.runs > 0 {
            return own_answer(status, detail);
        }
        refusal(detail, self.retry_after(cx, req))
    }
}

/// Notes that a request is not sent on since it crashes its targets.
pub(super) fn note_quarantined<N: Network>(cx: &Forwarder<N>, req: &ForwardRequest) {
    cx.metrics.on_quarantine_refusal(&req.service);
    tracing::info!(
        part = "forward",
        request = req.head.id(),
        fingerprint = %req.fingerprint,
        "request in quarantine"
    );
}

pub(super) fn note_failure<N: Network>(
    cx: &Forwarder<N>,
    target: &TargetEntry,
    failure: &SendFailure,
) {
    cx.metrics.on_send(&target.service, failure.label());
    match failure {
        SendFailure::WrongTarget => cx.health.on_address_reused(&target.id),
        SendFailure::Declined { .. } => cx.health.on_refused(&target.id),
        SendFailure::BacksOff => cx.metrics.on_held_back(&target.service, "back-off"),
        SendFailure::Silent => {
            cx.health.on_failure(&target.id);
            cx.connections.drop_idle(&target.id);
        }
        SendFailure::NotSent(_) | SendFailure::Broken(_) => cx.health.on_failure(&target.id),
    }
}

async fn send_plain<N: Network>(
    cx: &Forwarder<N>,
    req: &ForwardRequest,
    target: &Arc<TargetEntry>,
    patience: Duration,
) -> Result<TargetAnswer, SendFailure> {
    let give_up_at = Instant::now() + patience;
    let mut connection = tokio::time::timeout(patience, cx.connect(target))
        .await
        .map_err(|_| SendFailure::NotSent("connect timed out".to_owned()))?
        .map_err(|e| SendFailure::NotSent(e.to_string()))?;
    let to = Sending {
        target: &target.id,
        last_event_id: req.head.last_event_id.as_ref(),
        helpers: None,
    };
    let outgoing = req.for_target(&to);
    let id = &req.head.attempt_id;
    let response = send(cx, target, &mut connection, outgoing, id, until(give_up_at)).await?;
    let (parts, body) = response.into_parts();
    if let Some((running, waiting, _)) = parts
        .headers
        .get(&headers::TARGET_LOAD)
        .and_then(headers::parse_load)
    {
        cx.health.on_load(&target.id, running + waiting);
    }
    let collect = Limited::new(body, MAX_ANSWER_BYTES).collect();
    let body = match tokio::time::timeout_at(give_up_at, collect).await {
        Err(_) => return Err(SendFailure::Silent),
        Ok(Err(e)) => return Err(SendFailure::Broken(e.to_string())),
        Ok(Ok(body)) => body.to_bytes(),
    };
    if let Some(kept) = kept_for(&parts.headers) {
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
