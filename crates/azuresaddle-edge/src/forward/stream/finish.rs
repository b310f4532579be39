//! Handles failed sends: retry, or final answer to the caller.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::deployment::TargetEntry;
use azuresaddle_core::prelude::*;
use azuresaddle_sched::passes::StreamOutcome;
use azuresaddle_sched::quarantine::RequestStatus;
use hyper::StatusCode;
use tokio::time::Instant;

use super::open::Loss;
use super::{AnswerStart, DECLINED_PAUSE, DEFAULT_RETRY_AFTER, Relay, StreamEnd};
use crate::forward::attempt::{SendFailure, time_until};
use crate::forward::crash_check::check_for_crash;
use crate::forward::plain::{QUARANTINE_DETAIL, record_failure, record_quarantine_refusal};
use crate::forward::problem::{problem_response, refusal};

impl<N: Network> Relay<N> {
    /// Records a lost answer, and returns the outcome to report to the owner. A background task checks whether the request or
    /// `parts` of its prompt crashed the target.
    pub(super) fn record_loss(
        &self,
        target: &Arc<TargetEntry>,
        loss: Loss,
        sent_at: Instant,
        parts: &[Fingerprint],
    ) -> StreamOutcome {
        let failure = match loss {
            Loss::ServerError(response) => {
                self.sends.on_lost(&target.id);
                self.sends.keep_server_error(*response);
                return StreamOutcome::TargetFailed(target.id.clone());
            }
            Loss::Failed(failure) => failure,
            Loss::CallerGone | Loss::Quarantined => return StreamOutcome::Cancelled,
        };
        let check = self.record_failed_send(target, &failure, sent_at, parts);
        if let Some(check) = check {
            self.cx.spawner.spawn(check);
        }
        self.outcome_of(target.id.clone(), &failure)
    }

    /// Records a send without an answer. Returns the crash check of the target or helper that the request may have crashed, if
    /// there is one.
    pub(super) fn record_failed_send(
        &self,
        target: &Arc<TargetEntry>,
        failure: &SendFailure,
        sent_at: Instant,
        parts: &[Fingerprint],
    ) -> Option<impl Future<Output = ()> + Send + use<N>> {
        if *failure == SendFailure::TimedOut {
            // Only another target that answers shows that this one is at fault.
            self.cx.metrics.on_send(&self.req.service, failure.label());
        } else {
            record_failure(&self.cx, target, failure);
        }
        let helper_at_fault = match failure {
            SendFailure::Declined {
                at_fault: Some(at), ..
            } => self.find_target(at),
            _ => None,
        };
        tracing::info!(
            part = "forward",
            request = self.req.head.id(),
            fingerprint = %self.req.fingerprint,
            target = %target.id,
            failure = %failure,
            last_event = self.last_relayed_id,
            age_ms = self.req.arrived.elapsed().as_millis() as u64,
            "send failed"
        );
        let suspect = if failure.verdict() == Verdict::NotRun {
            self.sends.on_not_run(&target.id);
            let excluded = helper_at_fault.as_ref().unwrap_or(target);
            self.sends.exclude(excluded.id.clone());
            // A helper processes a part of the prompt, so the request may have crashed it.
            helper_at_fault?
        } else {
            self.sends.on_lost(&target.id);
            Arc::clone(target)
        };
        let (cx, req) = (Arc::clone(&self.cx), Arc::clone(&self.req));
        let parts = parts.to_vec();
        Some(async move { check_for_crash(&cx, &req, &parts, &suspect, sent_at).await })
    }

    /// Finds a target of the service by its name or address.
    fn find_target(&self, at: &str) -> Option<Arc<TargetEntry>> {
        let snapshot = self.cx.snapshots.load();
        let targets = snapshot.targets.of_service(&self.req.service);
        let found = targets
            .iter()
            .find(|t| t.id.as_str() == at || t.addr.to_string() == at);
        found.cloned()
    }

    /// Whether another send may follow a failed one; takes a retry for it.
    pub(super) fn may_send_again(&self, failure: &SendFailure) -> bool {
        if failure.verdict() != Verdict::NotRun {
            return self.may_run_again();
        }
        if self.sends.has_not_run() {
            self.req.gate.on_not_run();
        }
        self.sends.may_follow(self.max_targets())
            && !time_until(self.req.deadline).is_zero()
            && (!failure.reached_target() || self.cx.try_take_retry(&self.req.service))
    }

    /// Whether another run may follow; takes a retry for it.
    pub(super) fn may_run_again(&self) -> bool {
        self.may_follow() && self.cx.try_take_retry(&self.req.service)
    }

    /// Whether the request may be sent once more although targets may have run it, the retry budget aside.
    pub(super) fn may_follow(&self) -> bool {
        self.sends.may_follow(self.max_targets())
            && !time_until(self.req.deadline).is_zero()
            && (self.start_tx.is_some() || self.last_relayed_id.is_some())
    }

    /// If all targets have declined the request, waits for a while and then allows further sends to them.
    pub(super) async fn await_declined_targets(&self) {
        let snapshot = self.cx.snapshots.load();
        let targets = snapshot.targets.of_service(&self.req.service);
        if self.sends.excludes_all(targets) {
            tokio::time::sleep(DECLINED_PAUSE.min(time_until(self.req.deadline))).await;
            self.sends.clear_excluded();
        }
    }

    /// Most targets that may run the request.
    pub(super) fn max_targets(&self) -> u32 {
        if self.req.is_idempotent() {
            self.req.route.max_attempts
        } else {
            1
        }
    }

    /// Targets of the service that must not get the request now.
    pub(super) fn excluded(&self) -> Vec<HostName> {
        let snapshot = self.cx.snapshots.load();
        let targets = snapshot.targets.of_service(&self.req.service);
        let names = targets.iter().map(|t| &t.id);
        self.sends.excluded(names, self.max_targets())
    }

    /// Sends the final answer to a request that no engine can serve in time.
    pub(super) fn refuse(mut self, retry_after: Duration) {
        self.progress.complete();
        self.log(&HostName::new(""), "stream refused");
        if !self.sends.has_not_run() {
            return self.give_up(&SendFailure::TimedOut);
        }
        self.record_sample(StreamEnd::Refused);
        match self.start_tx.take() {
            Some(tx) => {
                let response = refusal("no engine can serve this in time", retry_after);
                // The caller may have disconnected.
                let _ = tx.send(AnswerStart::Complete(Box::new(response)));
            }
            // Closing the channel without `BodyChunk::End` aborts the answer that has begun.
            None => drop(self.events),
        }
    }

    /// Sends the final answer to a quarantined request.
    pub(super) fn refuse_quarantined(mut self) {
        record_quarantine_refusal(&self.cx, &self.req);
        if !self.sends.has_not_run() {
            return self.give_up(&SendFailure::Broken(QUARANTINE_DETAIL.to_owned()));
        }
        self.progress.complete();
        self.record_sample(StreamEnd::Refused);
        let status = self
            .cx
            .quarantine
            .request_status(self.req.fingerprint, &self.req.prompt_parts);
        let left = match status {
            RequestStatus::Quarantined { left } => left,
            // The quarantine was lifted just now, for example by a successful run on another node.
            RequestStatus::Clear | RequestStatus::Suspect => DEFAULT_RETRY_AFTER,
        };
        if let Some(tx) = self.start_tx.take() {
            let response = refusal(QUARANTINE_DETAIL, left);
            // The caller may have disconnected.
            let _ = tx.send(AnswerStart::Complete(Box::new(response)));
        }
    }

    /// Sends the final answer after a failed send.
    pub(super) fn give_up(mut self, failure: &SendFailure) {
        self.progress.complete();
        self.log(&HostName::new(""), "stream given up");
        self.record_sample(if self.sends.has_not_run() {
            StreamEnd::Refused
        } else {
            StreamEnd::Failed
        });
        let Some(tx) = self.start_tx.take() else {
            // Closing the channel without `BodyChunk::End` aborts the answer that has begun.
            return;
        };
        let response = match (self.sends.take_server_error(), failure) {
            (Some(response), _) => response,
            (None, _) if self.sends.has_not_run() => {
                refusal("no target took the request", self.retry_after())
            }
            (None, SendFailure::TimedOut | SendFailure::NoRoom) => {
                problem_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
            }
            (None, _) => problem_response(StatusCode::BAD_GATEWAY, "the target broke off"),
        };
        // The caller may have disconnected.
        let _ = tx.send(AnswerStart::Complete(Box::new(response)));
    }
}
