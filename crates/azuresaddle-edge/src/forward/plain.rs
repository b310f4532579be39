//! Requests to plain services: which target they are sent to, and what follows a failed send.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::byte_budget::{HeldFor, ReadLimits, WhenFull};
use azuresaddle_core::deployment::TargetEntry;
use azuresaddle_core::prelude::*;
use azuresaddle_sched::quarantine::RequestStatus;
use hyper::{Response, StatusCode};
use tokio::time::Instant;

use super::attempt::{SendFailure, time_until};
use super::body::ProxyBody;
use super::crash_check::{check_for_crash, record_successful_run};
use super::forwarder::Forwarder;
use super::head::ForwardRequest;
use super::plain_send::{Sent, TargetAnswer, connect_limit, replace_silent, send_observed};
use super::problem::{problem_response, refusal};

/// Most sends of one request after which it did not run. Each of them takes up the caller's time.
const MAX_DECLINED: u32 = 4;

/// `Retry-After` if all targets declined: about the time that one request takes.
const DECLINED_RETRY_AFTER: Duration = Duration::from_millis(150);

/// `Retry-After` if no target is known.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Detail of the answer to a quarantined request.
pub(super) const QUARANTINE_DETAIL: &str = "targets crash when they run this request";

/// Forwards a request to a plain service, with retries at other targets.
pub(super) async fn forward_plain<N: Network>(
    cx: &Arc<Forwarder<N>>,
    req: &ForwardRequest,
) -> Response<ProxyBody> {
    let mut history = SendHistory::default();
    let mut replacement = None;
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
        let chosen = match replacement.take() {
            Some(chosen) => Some(chosen),
            None => cx.choose_target(&req.service, &history.exclude).await,
        };
        let Some((target, in_flight)) = chosen else {
            return history.give_up(
                cx,
                req,
                StatusCode::BAD_GATEWAY,
                "no target takes the request",
            );
        };
        let may_retry = req.is_idempotent() && history.runs + 1 < req.route.max_attempts;
        let sent_at = Instant::now();
        let connect = connect_limit(cx, req, &target, &history.exclude, may_retry);
        let next = async {
            if !may_retry {
                std::future::pending::<()>().await;
            }
            replace_silent(cx, req, &target, &history.exclude).await
        };
        let result = match send_observed(cx, req, &target, connect, next).await {
            Sent::Ended(result) => result,
            Sent::Replaced(next) => {
                replacement = Some(next);
                Err(SendFailure::TimedOut)
            }
        };
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
                if replacement.is_some() {
                    history.on_replaced(&target.id);
                } else if !history.may_send_again(cx, req, &target.id, &failure) {
                    return history.give_up_after(cx, req, &failure);
                }
            }
        }
    }
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

    /// Records a send to a silent target that another target takes over.
    fn on_replaced(&mut self, target: &HostName) {
        self.runs += 1;
        self.exclude.push(target.clone());
    }

    fn give_up_after<N: Network>(
        self,
        cx: &Forwarder<N>,
        req: &ForwardRequest,
        failure: &SendFailure,
    ) -> Response<ProxyBody> {
        match failure {
            SendFailure::TimedOut | SendFailure::Overtaken | SendFailure::NoRoom => {
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
        SendFailure::TimedOut | SendFailure::Overtaken => {
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
