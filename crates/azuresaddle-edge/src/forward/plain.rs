//! Requests to plain services, whose answer is read completely before it is forwarded.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::byte_budget::{HeldBytes, HeldFor, ReadLimits, WhenFull, read_held};
use azuresaddle_core::deployment::TargetEntry;
use azuresaddle_core::prelude::*;
use azuresaddle_platform::headers;
use azuresaddle_sched::quarantine::RequestStatus;
use azuresaddle_sched::target_health::SendOutcome;
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use tokio::time::Instant;

use super::attempt::{SendFailure, keep_alive, send, time_until};
use super::body::ProxyBody;
use super::crash_check::{check_for_crash, record_successful_run};
use super::forwarder::Forwarder;
use super::head::{ForwardRequest, SendOptions, strip_hop_by_hop};
use super::plain_connect::{connect_plain, connect_timeout};
use super::problem::{problem_response, refusal};
use crate::targets::Connection;

/// Longest answer that is accepted, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Most sends of one request after which it did not run. Each of them takes up the caller's time.
const MAX_DECLINED: u32 = 4;

/// Timeout of a send after which an idempotent request can still be retried, in multiples of the latency target.
/// Another target is tried then.
const FIRST_SEND_TIMEOUT_FACTOR: f64 = 1.6;

/// `Retry-After` if all targets declined: about the time that one request takes.
const DECLINED_RETRY_AFTER: Duration = Duration::from_millis(150);

/// `Retry-After` if no target is known.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Detail of the answer to a quarantined request.
pub(super) const QUARANTINE_DETAIL: &str = "targets crash when they run this request";

/// Complete answer of a target.
struct TargetAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: HeldBytes,
}

impl TargetAnswer {
    fn into_response(self) -> Response<ProxyBody> {
        let mut response = Response::new(ProxyBody::held(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }

    /// Whether the target ran the request and answered with a server error.
    fn is_failure(&self) -> bool {
        self.status.is_server_error()
    }
}

/// Forwards a request to a plain service, with retries at other targets.
pub(super) async fn forward_plain<N: Network>(
    cx: &Arc<Forwarder<N>>,
    req: &ForwardRequest,
) -> Response<ProxyBody> {
    let mut history = SendHistory::default();
    loop {
        if time_until(req.deadline).is_zero() {
            return history.give_up(cx, req, StatusCode::GATEWAY_TIMEOUT, "no answer in time");
        }
        let status = cx
            .quarantine
            .request_status(req.fingerprint, &req.prompt_parts);
        if let RequestStatus::Quarantined { left } = status {
            record_quarantine_refusal(cx, req);
            return history.refuse_quarantined(cx, req, left);
        }
        let chosen = cx.choose_target(&req.service, &history.exclude).await;
        let Some((target, in_flight)) = chosen else {
            return history.give_up(
                cx,
                req,
                StatusCode::BAD_GATEWAY,
                "no target takes the request",
            );
        };
        let may_retry = req.is_idempotent() && history.runs + 1 < req.route.max_attempts;
        let timeout = send_timeout(req, may_retry);
        let sent_at = Instant::now();
        let connect = if cx.has_other_target(&req.service, &target.id, &history.exclude) {
            connect_timeout(req.arrived + req.route.latency_target, req.deadline).min(timeout)
        } else {
            timeout
        };
        let timeouts = SendTimeouts {
            connect,
            all: timeout,
        };
        let result = send_observed(cx, req, &target, timeouts).await;
        drop(in_flight);
        if result.as_ref().is_ok_and(|a| a.status.is_success()) {
            record_successful_run(cx, req, &req.prompt_parts, &target, sent_at);
        }
        match result {
            Ok(answer) if answer.is_failure() && may_retry && cx.try_take_retry(&req.service) => {
                cx.health.on_answer(&target.id, sent_at.elapsed());
                history.runs += 1;
                history.exclude.push(target.id.clone());
                history.last_failure = Some(answer);
            }
            Ok(answer) => {
                cx.metrics.on_send(&req.service, "answered");
                tracing::info!(
                    part = "forward",
                    request = req.head.id(),
                    route = %req.route.name,
                    target = %target.id,
                    status = answer.status.as_u16(),
                    sends = history.runs + history.declined + 1,
                    target_ms = req.route.latency_target.as_millis() as u64,
                    age_ms = req.arrived.elapsed().as_millis() as u64,
                    "answered"
                );
                cx.health.on_answer(&target.id, sent_at.elapsed());
                return answer.into_response();
            }
            Err(failure) => {
                record_failure(cx, &target, &failure);
                if failure.verdict() == Verdict::MayHaveRun {
                    check_for_crash(cx, req, &req.prompt_parts, &target, sent_at).await;
                }
                tracing::info!(
                    part = "forward",
                    request = req.head.id(),
                    fingerprint = %req.fingerprint,
                    target = %target.id,
                    failure = %failure,
                    sends = history.runs + history.declined + 1,
                    "send failed"
                );
                if !history.may_send_again(cx, req, &target.id, &failure) {
                    return history.give_up_after(cx, req, &failure);
                }
            }
        }
    }
}

/// Timeouts of one send.
#[derive(Clone, Copy, Debug)]
struct SendTimeouts {
    /// For the connection.
    connect: Duration,
    /// For the whole send.
    all: Duration,
}

/// Sends a request once and records the outcome for the nodes that share what they observe.
///
/// A target is recorded as not answering as soon as an idempotent request would be sent elsewhere, also if this one still
/// waits: a request that may run only once waits until its deadline.
async fn send_observed<N: Network>(
    cx: &Arc<Forwarder<N>>,
    req: &ForwardRequest,
    target: &Arc<TargetEntry>,
    timeouts: SendTimeouts,
) -> Result<TargetAnswer, SendFailure> {
    let started_at = Instant::now();
    let give_up_at = started_at + timeouts.all;
    let connection = connect_plain(cx, target, timeouts.connect).await?;
    let answer_timeout = req.route.latency_target.mul_f64(FIRST_SEND_TIMEOUT_FACTOR);
    let mut sending = std::pin::pin!(send_plain(cx, req, target, connection, give_up_at));
    let result = match tokio::time::timeout(answer_timeout, &mut sending).await {
        Ok(result) => result,
        Err(_) => {
            cx.observe(target, SendOutcome::NoAnswer);
            let result = sending.await;
            if result.is_ok() {
                cx.observe(target, SendOutcome::Slow);
            }
            return result;
        }
    };
    if let Some(outcome) = outcome_of(cx, req, target, &result, started_at.elapsed()) {
        cx.observe(target, outcome);
    }
    result
}

/// What a send on an open connection says about its target; `None` if nothing.
fn outcome_of<N: Network>(
    cx: &Forwarder<N>,
    req: &ForwardRequest,
    target: &TargetEntry,
    result: &Result<TargetAnswer, SendFailure>,
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
            | SendFailure::NoPath
            | SendFailure::InBackOff
            | SendFailure::Stopping
            | SendFailure::WrongTarget
            | SendFailure::NoRoom,
        ) => None,
    }
}

/// Timeout of one send.
fn send_timeout(req: &ForwardRequest, may_retry: bool) -> Duration {
    let left = time_until(req.deadline);
    if !may_retry {
        return left;
    }
    req.route
        .latency_target
        .mul_f64(FIRST_SEND_TIMEOUT_FACTOR)
        .min(left)
}

/// The sends of one request so far.
#[derive(Default)]
struct SendHistory {
    exclude: Vec<HostName>,
    /// Sends after which the request may have run.
    runs: u32,
    /// Sends after which it did not.
    declined: u32,
    /// Those of the declined sends that got no connection while other targets were left.
    unsent: u32,
    last_failure: Option<TargetAnswer>,
}

impl SendHistory {
    /// Records a failed send. Returns whether another one may follow.
    fn may_send_again<N: Network>(
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
            if self.runs == 0 {
                req.gate.on_not_run();
            }
        }
        let is_unsent = matches!(failure, SendFailure::NotSent(_) | SendFailure::NoPath);
        let goes_elsewhere = is_unsent && cx.has_other_target(&req.service, target, &self.exclude);
        if goes_elsewhere {
            self.unsent += 1;
        }
        // A pooled connection may have been closed before the request was written. The first such failure does not
        // exclude the target unless another one is left.
        if !is_unsent || goes_elsewhere || self.declined > 1 {
            self.exclude.push(target.clone());
        }
        let allowed = failure.verdict().may_retry(req.is_idempotent())
            && self.runs < req.route.max_attempts
            && self.declined - self.unsent < MAX_DECLINED
            && !time_until(req.deadline).is_zero();
        allowed && (!failure.reached_target() || cx.try_take_retry(&req.service))
    }

    fn give_up_after<N: Network>(
        self,
        cx: &Forwarder<N>,
        req: &ForwardRequest,
        failure: &SendFailure,
    ) -> Response<ProxyBody> {
        match failure {
            SendFailure::TimedOut | SendFailure::NoRoom => {
                self.give_up(cx, req, StatusCode::GATEWAY_TIMEOUT, "no answer in time")
            }
            _ => self.give_up(cx, req, StatusCode::BAD_GATEWAY, "the target broke off"),
        }
    }

    /// The final answer to a quarantined request.
    fn refuse_quarantined<N: Network>(
        self,
        cx: &Forwarder<N>,
        req: &ForwardRequest,
        left: Duration,
    ) -> Response<ProxyBody> {
        if self.runs > 0 {
            return self.give_up(cx, req, StatusCode::BAD_GATEWAY, QUARANTINE_DETAIL);
        }
        refusal(QUARANTINE_DETAIL, left)
    }

    /// Value for `Retry-After`: at least the time until a target accepts requests again.
    fn retry_after<N: Network>(&self, cx: &Forwarder<N>, req: &ForwardRequest) -> Duration {
        let default = if self.declined > 0 {
            DECLINED_RETRY_AFTER
        } else {
            NO_TARGET_RETRY_AFTER
        };
        let back_off = cx.retry_in(&req.service);
        back_off.map_or(default, |back_off| back_off.max(default))
    }

    /// The final answer: the last failure that a target answered with, or else an answer of the node.
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
            left_ms = time_until(req.deadline).as_millis() as u64,
            retry_in_ms = cx.retry_in(&req.service).map(|back_off| back_off.as_millis() as u64),
            reason = detail,
            "given up"
        );
        if let Some(answer) = self.last_failure {
            return answer.into_response();
        }
        if self.runs > 0 {
            return problem_response(status, detail);
        }
        refusal(detail, self.retry_after(cx, req))
    }
}

/// Logs and counts the refusal of a quarantined request.
pub(super) fn record_quarantine_refusal<N: Network>(cx: &Forwarder<N>, req: &ForwardRequest) {
    cx.metrics.on_quarantine_refusal(&req.service);
    tracing::info!(
        part = "forward",
        request = req.head.id(),
        fingerprint = %req.fingerprint,
        prompt_parts = ?req.prompt_parts,
        "request in quarantine"
    );
}

pub(super) fn record_failure<N: Network>(
    cx: &Forwarder<N>,
    target: &TargetEntry,
    failure: &SendFailure,
) {
    cx.metrics.on_send(&target.service, failure.label());
    let is_at_fault = || cx.paths.is_at_fault(&target.id);
    match failure {
        SendFailure::WrongTarget => cx.health.on_address_reused(&target.id),
        SendFailure::Declined { .. } => cx.health.on_refused(&target.id),
        SendFailure::InBackOff => cx.metrics.on_held_back(&target.service, "back-off"),
        SendFailure::TimedOut => {
            cx.connections.drop_idle(&target.id);
            if !is_at_fault() {
                cx.health.on_failure(&target.id);
            }
        }
        SendFailure::NotSent(_)
        | SendFailure::NoPath
        | SendFailure::Broken(_)
        | SendFailure::Stalled { .. } => {
            if !is_at_fault() {
                cx.health.on_failure(&target.id);
            }
        }
        // The node is at fault, not the target.
        SendFailure::NoRoom | SendFailure::Stopping => {}
    }
}

async fn send_plain<N: Network>(
    cx: &Forwarder<N>,
    req: &ForwardRequest,
    target: &Arc<TargetEntry>,
    mut connection: Connection,
    give_up_at: Instant,
) -> Result<TargetAnswer, SendFailure> {
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
        time_until(give_up_at),
    )
    .await?;
    let (parts, body) = response.into_parts();
    if let Some((running, waiting, _)) = parts
        .headers
        .get(&headers::TARGET_LOAD)
        .and_then(headers::parse_load)
    {
        cx.health.on_load(&target.id, running + waiting);
    }
    let limits = answer_limits(MAX_ANSWER_BYTES, give_up_at);
    let body = read_held(body, &cx.budget_of(req), &limits).await?;
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

/// Limits on reading a complete answer. It may have taken an engine's time, so it waits for memory if there is none.
pub(super) fn answer_limits(max_bytes: usize, end: Instant) -> ReadLimits {
    ReadLimits {
        held_for: HeldFor::Caller,
        max_bytes,
        max_pause: time_until(end),
        end,
        when_full: WhenFull::Wait,
    }
}
