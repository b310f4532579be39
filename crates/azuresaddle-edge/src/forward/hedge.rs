//! Hedged requests: a request that silent targets have is also sent to another target.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use tokio::sync::watch;

use super::attempt::SendFailure;
use super::forwarder::Forwarder;
use super::head::ForwardRequest;
use super::pending_crash_checks::PendingCrashChecks;
use super::plain::record_failure;
use super::plain_send::{ChosenTarget, silence_limit};
use super::send_history::SendHistory;
use super::sends_in_flight::{PlainSend, SendsInFlight};

/// Pause between searches for another target, while no target or no retry is available.
const SEARCH_PAUSE: Duration = Duration::from_millis(50);

/// A search for another target for a request, with the state of the sends in flight at its start.
pub(super) struct HedgeSearch {
    /// One per target; set once the target has been silent for too long.
    silences: Vec<watch::Receiver<bool>>,
    /// Targets that have the request.
    targets: Vec<HostName>,
}

impl HedgeSearch {
    pub(super) fn new<F>(sends: &SendsInFlight<F>) -> Self {
        Self {
            silences: sends.silences(),
            targets: sends.targets(),
        }
    }

    /// Waits until all targets that have the request are silent and another target is available, and takes a retry for it.
    ///
    /// Never returns if the request must not be sent again.
    pub(super) async fn run<N: Network>(
        mut self,
        cx: &Forwarder<N>,
        req: &ForwardRequest,
        history: &mut SendHistory,
        checks: &mut PendingCrashChecks,
    ) -> ChosenTarget {
        if !history.may_run_again(req, self.silences.len()) {
            std::future::pending::<()>().await;
        }
        for silence in &mut self.silences {
            // Fails if the send has ended, which ends this search.
            let _ = silence.wait_for(|is_silent| *is_silent).await;
        }
        // A crash may put the request in quarantine.
        checks.finish().await;
        loop {
            if let Some(chosen) = self.try_choose(cx, req, history).await {
                return chosen;
            }
            tokio::time::sleep(SEARCH_PAUSE).await;
        }
    }

    /// Chooses another target and takes a retry for it; `None` if there is no target or no retry now.
    async fn try_choose<N: Network>(
        &self,
        cx: &Forwarder<N>,
        req: &ForwardRequest,
        history: &mut SendHistory,
    ) -> Option<ChosenTarget> {
        let is_quarantined = || {
            let status = cx
                .quarantine
                .request_status(req.fingerprint, &req.prompt_parts);
            status.is_quarantined()
        };
        if !history.has_retry(cx, req) || is_quarantined() {
            return None;
        }
        let chosen = history.choose_target(cx, req, &self.targets).await?;
        // Another request may have taken the last retry meanwhile.
        history.try_take_retry(cx, req).then_some(chosen)
    }
}

/// Records the sends that were cancelled because another target answered with `winner`.
///
/// A target that got the request before the winner counts as failed if the winner answered as fast as usual. If the winner was
/// slow too, the same cause may have delayed both, and the other answer may have been about to arrive.
pub(super) fn record_cancelled<N: Network>(
    cx: &Arc<Forwarder<N>>,
    req: &Arc<ForwardRequest>,
    winner: &PlainSend,
    cancelled: Vec<PlainSend>,
    checks: &mut PendingCrashChecks,
) {
    let took = winner.sent_at.elapsed();
    let is_winner_slow = took >= silence_limit(req) || cx.health.is_slow(&winner.target.id, took);
    for send in cancelled {
        let waited_ms = send.sent_at.elapsed().as_millis() as u64;
        if send.sent_at < winner.sent_at && !is_winner_slow {
            let failure = SendFailure::Overtaken;
            tracing::info!(
                part = "forward",
                request = req.head.id(),
                fingerprint = %req.fingerprint,
                target = %send.target.id,
                failure = %failure,
                answered_by = %winner.target.id,
                waited_ms,
                "send failed"
            );
            record_failure(cx, &send.target, &failure);
            checks.begin(cx, req, send);
        } else {
            tracing::info!(
                part = "forward",
                request = req.head.id(),
                target = %send.target.id,
                answered_by = %winner.target.id,
                waited_ms,
                "send cancelled"
            );
            cx.metrics.on_send(&req.service, "cancelled");
        }
    }
}
