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
use super::placement::Placement;
use super::{AnswerStart, DEFAULT_RETRY_AFTER, Relay, StreamEnd};
use crate::forward::attempt::{SendFailure, time_until};
use crate::forward::crash_check::check_for_crash;
use crate::forward::plain::{QUARANTINE_DETAIL, record_failure, record_quarantine_refusal};
use crate::forward::problem::{problem_response, refusal};

impl<N: Network> Relay<N> {
    /// Records a send without an answer, and checks whether the target has crashed.
    pub(super) async fn record_failed_send(
        &self,
        target: &TargetEntry,
        failure: &SendFailure,
        sent_at: Instant,
    ) {
        let at = self.log_failed_send(target, failure);
        if failure.verdict() == Verdict::MayHaveRun {
            let parts = self.unproven_parts();
            check_for_crash(&self.cx, &self.req, parts, target, sent_at).await;
        } else if let Some(helper) = &at {
            // A helper processes a part of the prompt, so the request may have crashed it as well.
            let parts = self.unproven_parts();
            check_for_crash(&self.cx, &self.req, parts, helper, sent_at).await;
        }
    }

    /// Counts and logs a send without an answer, and excludes the target at fault. Returns that one if it is another target.
    fn log_failed_send(
        &self,
        target: &TargetEntry,
        failure: &SendFailure,
    ) -> Option<Arc<TargetEntry>> {
        record_failure(&self.cx, target, failure);
        let at = match failure {
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
        let excluded = at.as_ref().map_or(&target.id, |helper| &helper.id);
        self.history.exclude(excluded.clone());
        at
    }

    /// Records a lost answer of a target while the stream goes on at another one. A crash is looked for beside it.
    pub(super) fn record_loss(&self, placement: Placement<N>, loss: Loss, sent_at: Instant) {
        let failure = match loss {
            Loss::Failed(response) => return self.on_failure(placement, *response),
            Loss::Lost(failure) => failure,
            Loss::CallerGone | Loss::Quarantined => return placement.end(StreamOutcome::Cancelled),
        };
        let target = Arc::clone(&placement.target);
        let helper = self.log_failed_send(&target, &failure);
        placement.end(self.outcome_of(target.id.clone(), &failure));
        let suspect = match failure.verdict() {
            Verdict::NotRun => {
                self.history.on_declined();
                // A helper processes a part of the prompt, so the request may have crashed it.
                helper
            }
            Verdict::MayHaveRun | Verdict::Ran => {
                self.history.on_run();
                Some(target)
            }
        };
        let Some(suspect) = suspect else { return };
        let (cx, req) = (Arc::clone(&self.cx), Arc::clone(&self.req));
        let parts = self.unproven_parts().to_vec();
        self.cx.spawner.spawn(async move {
            check_for_crash(&cx, &req, &parts, &suspect, sent_at).await;
        });
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

    /// Counts a send without an answer. Returns whether another one may follow.
    pub(super) fn may_send_again(&self, failure: &SendFailure) -> bool {
        if failure.verdict() == Verdict::NotRun {
            self.history.on_declined();
            if self.history.runs() == 0 {
                self.req.gate.on_not_run();
            }
            return !self.history.is_declined_too_often()
                && !time_until(self.req.deadline).is_zero()
                && (!failure.reached_target() || self.cx.try_take_retry(&self.req.service));
        }
        self.history.on_run();
        self.may_run_again()
    }

    pub(super) fn may_run_again(&self) -> bool {
        self.may_run_after(self.history.runs()) && self.cx.try_take_retry(&self.req.service)
    }

    /// Whether another run may follow `runs` ones, the retry budget aside.
    pub(super) fn may_run_after(&self, runs: u32) -> bool {
        self.req.is_idempotent()
            && runs < self.req.route.max_attempts
            && !time_until(self.req.deadline).is_zero()
            && (self.start_tx.is_some() || self.last_relayed_id.is_some())
    }

    /// Sends the final answer to a request that no engine can serve in time.
    pub(super) fn refuse(mut self, retry_after: Duration) {
        self.progress.complete();
        self.log(&HostName::new(""), "stream refused");
        if self.history.runs() > 0 {
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
        if self.history.runs() > 0 {
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
        self.record_sample(if self.history.runs() == 0 {
            StreamEnd::Refused
        } else {
            StreamEnd::Failed
        });
        let Some(tx) = self.start_tx.take() else {
            // Closing the channel without `BodyChunk::End` aborts the answer that has begun.
            return;
        };
        let response = match (self.history.take_failure(), failure) {
            (Some(response), _) => response,
            (None, _) if self.history.runs() == 0 => {
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
