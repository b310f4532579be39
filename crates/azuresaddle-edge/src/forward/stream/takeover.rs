//! Asks other targets for a stream whose target is silent.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::Relay;
use super::open::{Loss, OpenAnswer};
use super::placement::Placement;
use crate::forward::attempt::SendFailure;

/// Pause before the next search, while no target or no retry is left.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Another target that has begun to answer.
pub(super) struct Takeover<N: Network> {
    pub(super) placement: Placement<N>,
    pub(super) answer: OpenAnswer,
}

/// What became of a request to another target.
struct Candidate<N: Network> {
    placement: Placement<N>,
    sent_at: Instant,
    answer: Result<OpenAnswer, Loss>,
}

impl<N: Network> Relay<N> {
    /// Asks other targets than a silent one, and returns the first that sends events.
    ///
    /// A silent target may be sound and go on, and the others may be silent as well. So its answer is awaited beside theirs,
    /// and it counts as failed only when another one has begun to answer. Once `is_lost` is cancelled, no further target is
    /// asked, and the result is `None` if none of those that were asked answers.
    async fn takeover(
        &self,
        silent: &HostName,
        is_lost: &CancellationToken,
    ) -> Option<Takeover<N>> {
        let mut candidates = FuturesUnordered::new();
        let mut search_at = Instant::now();
        loop {
            if is_lost.is_cancelled() && candidates.is_empty() {
                return None;
            }
            tokio::select! {
                biased;
                Some(candidate) = candidates.next() => {
                    let Candidate { placement, sent_at, answer } = candidate;
                    match answer {
                        Ok(answer) => return Some(Takeover { placement, answer }),
                        Err(loss) => self.on_candidate_lost(placement, loss, sent_at),
                    }
                }
                () = is_lost.cancelled(), if !is_lost.is_cancelled() => {}
                placement = self.search(silent, search_at), if !is_lost.is_cancelled() => {
                    search_at = Instant::now() + placement.first_event_timeout;
                    self.history.on_run();
                    self.history.exclude(placement.target.id.clone());
                    candidates.push(self.ask(placement));
                }
            }
        }
    }

    /// Waits until `at`, then for other targets and a retry for them. Never returns if the request must not be sent again.
    async fn search(&self, silent: &HostName, at: Instant) -> Placement<N> {
        tokio::time::sleep_until(at).await;
        let may_run = self.may_run_after(self.history.runs() + 1);
        if !may_run || self.history.is_declined_too_often() {
            std::future::pending::<()>().await;
        }
        let exclude = [self.history.excluded(), vec![silent.clone()]].concat();
        loop {
            // A stopping node sends nothing any more.
            if !self.req.gate.is_closed()
                && let Some(placement) = self.try_replace(&exclude).await
            {
                return placement;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Other targets and a retry for them, if there are any now.
    async fn try_replace(&self, exclude: &[HostName]) -> Option<Placement<N>> {
        let service = &self.req.service;
        if !self.cx.has_retry(service) {
            return None;
        }
        let placement = self.place_unless_quarantined(exclude).await.ok()?;
        // Another request may have taken the last retry meanwhile.
        self.cx.try_take_retry(service).then_some(placement)
    }

    async fn ask(&self, placement: Placement<N>) -> Candidate<N> {
        let sent_at = Instant::now();
        let answer = self.open(&placement).await;
        Candidate {
            placement,
            sent_at,
            answer,
        }
    }

    /// Records a target that was asked and failed. The silent one's answer is still awaited.
    fn on_candidate_lost(&self, placement: Placement<N>, loss: Loss, sent_at: Instant) {
        self.history.take_back_run();
        self.record_loss(placement, loss, sent_at);
    }

    /// Awaits the next part of a target's answer, and other targets if it is silent from `silent_at` on.
    ///
    /// # Errors
    /// If the target's answer is lost, or another target takes over.
    pub(super) async fn await_answer<T>(
        &self,
        target: &HostName,
        silent_at: Instant,
        answer: impl Future<Output = Result<T, Loss>>,
    ) -> Result<T, AnswerEnd<N>> {
        let deadline = self.req.deadline;
        let mut answer = std::pin::pin!(tokio::time::timeout_at(deadline, answer));
        if let Ok(answer) = tokio::time::timeout_at(silent_at, &mut answer).await {
            return Ok(answer.map_err(|_| SendFailure::TimedOut)??);
        }
        self.log_silence(target, silent_at, "target is silent");
        let is_lost = CancellationToken::new();
        let mut takeover = std::pin::pin!(self.takeover(target, &is_lost));
        let result = tokio::select! {
            biased;
            answer = answer => match answer {
                Ok(Ok(part)) => Ok(part),
                Ok(Err(loss)) => {
                    is_lost.cancel();
                    // Another target may already work on the request.
                    match tokio::time::timeout_at(deadline, takeover).await {
                        Ok(Some(takeover)) => Err(AnswerEnd::TakenOver(Box::new(takeover), loss)),
                        Ok(None) | Err(_) => Err(loss.into()),
                    }
                }
                Err(_) => Err(SendFailure::TimedOut.into()),
            },
            Some(takeover) = &mut takeover => {
                let silence = SendFailure::TimedOut.into();
                Err(AnswerEnd::TakenOver(Box::new(takeover), silence))
            }
        };
        let (end, message) = match &result {
            Ok(_) => ("went-on", "silent target went on"),
            Err(AnswerEnd::TakenOver(..)) => ("taken-over", "silent target replaced"),
            Err(AnswerEnd::Lost(_)) => ("ended", "silent target lost"),
        };
        self.cx.metrics.on_silence(&self.req.service, end);
        self.log_silence(target, silent_at, message);
        result
    }

    fn log_silence(&self, target: &HostName, silent_at: Instant, message: &'static str) {
        tracing::info!(
            part = "forward",
            request = self.req.head.id(),
            target = %target,
            last_event = self.last_relayed_id,
            over_ms = silent_at.elapsed().as_millis() as u64,
            sends = self.req.gate.sends(),
            age_ms = self.req.arrived.elapsed().as_millis() as u64,
            "{message}"
        );
    }
}

/// Why a target's answer does not go on.
pub(super) enum AnswerEnd<N: Network> {
    /// The answer is lost.
    Lost(Loss),
    /// Another target goes on with it; the reason for which the first one does not.
    TakenOver(Box<Takeover<N>>, Loss),
}

impl<N: Network, L: Into<Loss>> From<L> for AnswerEnd<N> {
    fn from(loss: L) -> Self {
        Self::Lost(loss.into())
    }
}
