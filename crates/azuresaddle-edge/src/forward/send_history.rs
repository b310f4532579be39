//! The sends of one plain request that have ended.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use hyper::{Response, StatusCode};

use super::attempt::{SendFailure, time_until};
use super::body::ProxyBody;
use super::forwarder::Forwarder;
use super::head::ForwardRequest;
use super::plain::QUARANTINE_DETAIL;
use super::plain_send::{ChosenTarget, TargetAnswer};
use super::problem::{problem_response, refusal};

/// Maximum number of sends of one request after which it did not run. Each of them takes up the caller's time.
const MAX_DECLINED: u32 = 4;

/// `Retry-After` if all targets declined: about the time that one request takes.
const DECLINED_RETRY_AFTER: Duration = Duration::from_millis(150);

/// `Retry-After` if no target is known.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The sends of one request that have ended.
#[derive(Default)]
pub(super) struct SendHistory {
    /// Targets that the request is not sent to again.
    exclude: Vec<HostName>,
    /// Targets that accepted no connection in time. They may be tried again once all others were tried.
    unconnected: Vec<HostName>,
    /// Sends after which the request may have run.
    runs: u32,
    /// Sends after which it did not.
    declined: u32,
    /// Declined sends that got no connection in time, or none while other targets were left. They don't count towards
    /// [`MAX_DECLINED`].
    unsent: u32,
    /// Whether a send did not reach its target, so that the next one needs no retry.
    has_unused_send: bool,
    last_failure: Option<TargetAnswer>,
}

impl SendHistory {
    /// Number of sends that have ended.
    pub(super) fn sends(&self) -> u32 {
        self.runs + self.declined
    }

    /// Targets that the request is not sent to now, including `others`, the targets of the sends in flight.
    pub(super) fn tried(&self, others: &[HostName]) -> Vec<HostName> {
        [&self.exclude[..], &self.unconnected, others].concat()
    }

    /// Chooses a target while sends to `others` are in flight: one that had no send, or else one that accepted no connection
    /// and may only be paused. A server error is returned to the caller rather than trying such a target.
    pub(super) async fn choose_target<N: Network>(
        &mut self,
        cx: &Forwarder<N>,
        req: &ForwardRequest,
        others: &[HostName],
    ) -> Option<ChosenTarget> {
        let chosen = cx.choose_target(&req.service, &self.tried(others)).await;
        if chosen.is_some() || self.last_failure.is_some() || !self.readmit_paused(cx) {
            return chosen;
        }
        cx.choose_target(&req.service, &self.tried(others)).await
    }

    /// Lets the request be sent again to targets that accepted no connection but may only be paused. Returns whether there
    /// are any.
    fn readmit_paused<N: Network>(&mut self, cx: &Forwarder<N>) -> bool {
        let before = self.unconnected.len();
        self.unconnected.retain(|t| !cx.health.may_be_paused(t));
        self.unconnected.len() < before
    }

    /// Whether the request may run on one more target while `in_flight` sends are in flight, the retry budget aside.
    pub(super) fn may_run_again(&self, req: &ForwardRequest, in_flight: usize) -> bool {
        req.is_idempotent()
            && self.runs as usize + in_flight < req.route.max_attempts as usize
            && self.declined - self.unsent < MAX_DECLINED
    }

    /// Whether a retry is left for one more send.
    pub(super) fn has_retry<N: Network>(&self, cx: &Forwarder<N>, req: &ForwardRequest) -> bool {
        self.has_unused_send || cx.has_retry(&req.service)
    }

    /// Takes a retry for one more send; `false` if none is left.
    pub(super) fn try_take_retry<N: Network>(
        &mut self,
        cx: &Forwarder<N>,
        req: &ForwardRequest,
    ) -> bool {
        std::mem::take(&mut self.has_unused_send) || cx.try_take_retry(&req.service)
    }

    /// Records an answer with a server error. It is kept for the caller in case no better answer follows.
    pub(super) fn on_server_error(&mut self, target: &HostName, answer: TargetAnswer) {
        self.runs += 1;
        self.exclude.push(target.clone());
        self.last_failure = Some(answer);
    }

    /// Records a failed send while those to `others` are in flight.
    pub(super) fn on_failed<N: Network>(
        &mut self,
        cx: &Forwarder<N>,
        req: &ForwardRequest,
        target: &HostName,
        failure: &SendFailure,
        others: &[HostName],
    ) {
        if failure.verdict() != Verdict::NotRun {
            self.runs += 1;
        } else {
            self.declined += 1;
            if self.runs == 0 && others.is_empty() {
                req.gate.on_not_run();
            }
        }
        self.has_unused_send |= !failure.reached_target();
        if matches!(failure, SendFailure::ConnectTimeout) {
            self.unsent += 1;
            self.unconnected.push(target.clone());
            return;
        }
        let is_unsent = matches!(failure, SendFailure::NotSent(_) | SendFailure::NoPath);
        let tried = self.tried(others);
        let goes_elsewhere = is_unsent && cx.has_other_target(&req.service, target, &tried);
        if goes_elsewhere {
            self.unsent += 1;
        }
        // A pooled connection may have been closed before the request was written. The first such failure does not
        // exclude the target unless another one is left.
        if !is_unsent || goes_elsewhere || self.declined > 1 {
            self.exclude.push(target.clone());
        }
    }

    /// Whether another send may follow the last one, which failed; takes a retry for it.
    pub(super) fn may_send_again<N: Network>(
        &mut self,
        cx: &Forwarder<N>,
        req: &ForwardRequest,
        failure: &SendFailure,
    ) -> bool {
        failure.verdict().may_retry(req.is_idempotent())
            && self.runs < req.route.max_attempts
            && self.declined - self.unsent < MAX_DECLINED
            && !time_until(req.deadline).is_zero()
            && self.try_take_retry(cx, req)
    }

    /// The final answer after the last send failed.
    pub(super) fn give_up_after<N: Network>(
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
    pub(super) fn refuse_quarantined<N: Network>(
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
    pub(super) fn give_up<N: Network>(
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
