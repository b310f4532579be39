//! Which targets a request to a plain service is sent to, and what follows when a send ends.

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::deployment::TargetEntry;
use azuresaddle_core::prelude::*;
use azuresaddle_sched::quarantine::RequestStatus;
use hyper::{Response, StatusCode};

use super::attempt::{SendFailure, time_until};
use super::body::ProxyBody;
use super::crash_check::{check_for_crash, record_successful_run};
use super::forwarder::Forwarder;
use super::head::ForwardRequest;
use super::hedge::{HedgeSearch, record_cancelled};
use super::pending_crash_checks::PendingCrashChecks;
use super::plain::{record_failure, record_quarantine_refusal};
use super::plain_send::{ChosenTarget, TargetAnswer, connect_limit};
use super::send_history::SendHistory;
use super::sends_in_flight::{PlainSend, SendResult, SendsInFlight};

/// Next step of a request.
pub(super) enum Step {
    /// Send it to a target.
    Send(ChosenTarget),
    /// Handle the end of a send.
    SendEnded(PlainSend, SendResult),
    /// End it with an answer of the node.
    Respond(Response<ProxyBody>),
}

/// State of a request to a plain service, without its sends in flight.
pub(super) struct PlainRequest<'a, N: Network> {
    cx: &'a Arc<Forwarder<N>>,
    req: &'a Arc<ForwardRequest>,
    history: SendHistory,
    checks: PendingCrashChecks,
}

impl<'a, N: Network> PlainRequest<'a, N> {
    pub(super) fn new(cx: &'a Arc<Forwarder<N>>, req: &'a Arc<ForwardRequest>) -> Self {
        Self {
            cx,
            req,
            history: SendHistory::default(),
            checks: PendingCrashChecks::default(),
        }
    }

    /// Waits for the next step: a send ends, another send is due, or the request ends.
    pub(super) async fn next_step<F: Future<Output = SendResult>>(
        &mut self,
        sends: &mut SendsInFlight<F>,
    ) -> Step {
        if sends.is_empty() {
            self.checks.finish().await;
            return self.choose_or_end().await;
        }
        let search = HedgeSearch::new(sends);
        tokio::select! {
            biased;
            (send, result) = sends.next_ended() => Step::SendEnded(send, result),
            chosen = search.run(self.cx, self.req, &mut self.history, &mut self.checks) => {
                Step::Send(chosen)
            }
        }
    }

    /// Chooses a target while no send is in flight, or ends the request if it must not be sent.
    async fn choose_or_end(&mut self) -> Step {
        let (cx, req) = (self.cx, self.req);
        let mut history = std::mem::take(&mut self.history);
        if time_until(req.deadline).is_zero() {
            let status = StatusCode::GATEWAY_TIMEOUT;
            return Step::Respond(history.give_up(cx, req, status, "no answer in time"));
        }
        let status = cx
            .quarantine
            .request_status(req.fingerprint, &req.prompt_parts);
        if let RequestStatus::Quarantined { left } = status {
            record_quarantine_refusal(cx, req);
            return Step::Respond(history.refuse_quarantined(cx, req, left));
        }
        let Some(chosen) = history.choose_target(cx, req, &[]).await else {
            let status = StatusCode::BAD_GATEWAY;
            let detail = "no target takes the request";
            return Step::Respond(history.give_up(cx, req, status, detail));
        };
        self.history = history;
        Step::Send(chosen)
    }

    /// Longest wait for a connection to a target that gets the request while `sends` are in flight.
    pub(super) fn connect_limit<F>(
        &self,
        sends: &SendsInFlight<F>,
        target: &TargetEntry,
    ) -> Duration {
        let may_retry = self.history.may_run_again(self.req, sends.len() + 1);
        let exclude = self.history.tried(&sends.targets());
        connect_limit(self.cx, self.req, target, &exclude, may_retry)
    }

    /// Handles an answer. Returns it for the caller, unless it is a server error and another answer may follow.
    pub(super) fn on_answer<F>(
        &mut self,
        sends: &mut SendsInFlight<F>,
        send: &PlainSend,
        answer: TargetAnswer,
    ) -> Option<Response<ProxyBody>> {
        let (cx, req, target) = (self.cx, self.req, &send.target);
        let took = send.sent_at.elapsed();
        if answer.is_failure() && self.may_follow_server_error(sends.len()) {
            cx.health.on_answer(&target.id, took);
            self.log_failed(
                send,
                &format_args!("answered {}", answer.status),
                sends.len(),
            );
            self.history.on_server_error(&target.id, answer);
            return None;
        }
        if answer.status.is_success() {
            record_successful_run(cx, req, &req.prompt_parts, target, send.sent_at);
        }
        let cancelled = sends.cancel_all();
        let others = cancelled.len();
        record_cancelled(cx, req, send, cancelled, &mut self.checks);
        cx.metrics.on_send(&req.service, "answered");
        self.log_answered(send, answer.status, others);
        cx.health.on_answer(&target.id, took);
        Some(answer.into_response())
    }

    /// Whether another answer may follow a server error: one of the `in_flight` other sends, or of a new send, for which this
    /// takes a retry.
    fn may_follow_server_error(&mut self, in_flight: usize) -> bool {
        in_flight > 0
            || (self.history.may_run_again(self.req, 1)
                && self.history.try_take_retry(self.cx, self.req))
    }

    /// Handles a failed send. Returns an answer of the node if no other send is in flight and none may follow.
    pub(super) async fn on_failure<F>(
        &mut self,
        sends: &SendsInFlight<F>,
        send: &PlainSend,
        failure: &SendFailure,
    ) -> Option<Response<ProxyBody>> {
        let (cx, req) = (self.cx, self.req);
        record_failure(cx, &send.target, failure);
        if failure.verdict() == Verdict::MayHaveRun {
            if sends.is_empty() {
                check_for_crash(cx, req, &req.prompt_parts, &send.target, send.sent_at).await;
            } else {
                self.checks.begin(cx, req, send.clone());
            }
        }
        self.log_failed(send, failure, sends.len());
        let others = sends.targets();
        self.history
            .on_failed(cx, req, &send.target.id, failure, &others);
        if !sends.is_empty() || self.history.may_send_again(cx, req, failure) {
            return None;
        }
        let history = std::mem::take(&mut self.history);
        Some(history.give_up_after(cx, req, failure))
    }

    /// Logs that another target gets the request because those that have it are silent.
    pub(super) fn log_hedge<F>(&self, sends: &SendsInFlight<F>, target: &TargetEntry) {
        if sends.is_empty() {
            return;
        }
        let silent: Vec<HostName> = sends.targets();
        let silent: Vec<&str> = silent.iter().map(HostName::as_str).collect();
        tracing::info!(
            part = "forward",
            request = self.req.head.id(),
            target = %target.id,
            silent = silent.join(","),
            age_ms = self.req.arrived.elapsed().as_millis() as u64,
            left_ms = time_until(self.req.deadline).as_millis() as u64,
            "hedged"
        );
    }

    fn log_answered(&self, send: &PlainSend, status: StatusCode, cancelled: usize) {
        tracing::info!(
            part = "forward",
            request = self.req.head.id(),
            route = %self.req.route.name,
            target = %send.target.id,
            status = status.as_u16(),
            sends = self.history.sends() + cancelled as u32 + 1,
            cancelled,
            target_ms = self.req.route.latency_target.as_millis() as u64,
            age_ms = self.req.arrived.elapsed().as_millis() as u64,
            "answered"
        );
    }

    fn log_failed(&self, send: &PlainSend, failure: &impl Display, in_flight: usize) {
        tracing::info!(
            part = "forward",
            request = self.req.head.id(),
            fingerprint = %self.req.fingerprint,
            target = %send.target.id,
            failure = %failure,
            sends = self.history.sends() + in_flight as u32 + 1,
            in_flight,
            "send failed"
        );
    }
}
