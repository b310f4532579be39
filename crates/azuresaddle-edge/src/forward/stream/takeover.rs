//! Asks other targets for a stream whose target is silent.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::passes::overdue_at;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::Relay;
use super::open::{Loss, OpenAnswer};
use super::placement::Placement;
use super::silence_timer::SilenceTimer;
use crate::forward::attempt::SendFailure;

/// Pause between searches for other targets, while no target or no retry is available.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Another target that has begun to answer.
pub(super) struct Takeover<N: Network> {
    pub(super) placement: Placement<N>,
    pub(super) answer: OpenAnswer,
    pub(super) sent_at: Instant,
}

/// Another target that was asked, but whose answer is lost.
struct Unanswered<N: Network> {
    placement: Placement<N>,
    loss: Loss,
    sent_at: Instant,
}

/// Why a stream does not continue with a target's answer.
pub(super) enum AnswerEnd<N: Network> {
    /// It is lost, and no other target has begun to answer.
    Lost(Loss),
    /// It is lost, or was silent for too long, and the stream continues at another target.
    TakenOver(Box<Takeover<N>>, Loss),
}

impl<N: Network, L: Into<Loss>> From<L> for AnswerEnd<N> {
    fn from(loss: L) -> Self {
        Self::Lost(loss.into())
    }
}

impl<N: Network> Relay<N> {
    /// Waits for the next events of a placement's targets. If `silence` expires first, other targets are asked as well.
    ///
    /// # Errors
    /// If the target's answer is lost, or another target takes over.
    pub(super) async fn await_events<T>(
        &self,
        placement: &Placement<N>,
        silence: &SilenceTimer,
        events: impl Future<Output = Result<T, Loss>>,
    ) -> Result<T, AnswerEnd<N>> {
        let deadline = self.req.deadline;
        let mut events = std::pin::pin!(tokio::time::timeout_at(deadline, events));
        tokio::select! {
            biased;
            events = &mut events => return Ok(events.map_err(|_| SendFailure::TimedOut)??),
            () = silence.expired() => {}
        }
        let silent_at = Instant::now();
        let target = &placement.target.id;
        self.log_silence(target, silent_at, "target is silent");
        let is_lost = CancellationToken::new();
        let mut takeover = std::pin::pin!(self.ask_others(placement, &is_lost));
        let result = tokio::select! {
            biased;
            events = events => match events {
                Ok(Ok(events)) => Ok(events),
                Ok(Err(loss)) => {
                    is_lost.cancel();
                    // Another target may already be running the request.
                    match tokio::time::timeout_at(deadline, takeover).await {
                        Ok(Some(takeover)) => Err(AnswerEnd::TakenOver(Box::new(takeover), loss)),
                        Ok(None) | Err(_) => Err(loss.into()),
                    }
                }
                Err(_) => Err(SendFailure::TimedOut.into()),
            },
            Some(takeover) = &mut takeover => {
                let failure = self.failure_of_replaced(target, &takeover);
                Err(AnswerEnd::TakenOver(Box::new(takeover), failure.into()))
            }
        };
        self.on_silence_end(target, silent_at, &result);
        result
    }

    /// Asks other targets than those of a silent placement, and returns the first that sends events.
    ///
    /// A silent target may be sound and go on, and the others may be silent as well. So its answer is awaited beside theirs,
    /// and it counts as failed only when another one has begun to answer in time. Once `is_lost` is cancelled, the result is
    /// `None` as soon as no other target has the request.
    async fn ask_others(
        &self,
        silent: &Placement<N>,
        is_lost: &CancellationToken,
    ) -> Option<Takeover<N>> {
        // A helper may be what delays the lead.
        let silent = std::iter::once(&silent.target).chain(&silent.helpers);
        let mut tried: Vec<HostName> = silent.map(|t| t.id.clone()).collect();
        let mut asked = FuturesUnordered::new();
        let mut search_at = Instant::now();
        loop {
            if is_lost.is_cancelled() && asked.is_empty() {
                return None;
            }
            tokio::select! {
                biased;
                Some(answer) = asked.next() => match answer {
                    Ok(takeover) => return Some(takeover),
                    Err(Unanswered { placement, loss, sent_at }) => {
                        let parts = &self.req.prompt_parts;
                        let outcome = self.record_loss(&placement.target, loss, sent_at, parts);
                        placement.end(outcome);
                        search_at = Instant::now();
                    }
                },
                () = is_lost.cancelled(), if !is_lost.is_cancelled() => {}
                placement = self.search(&tried, search_at) => {
                    tried.push(placement.target.id.clone());
                    search_at = Instant::now() + placement.first_event_timeout;
                    asked.push(self.ask(placement));
                }
            }
        }
    }

    /// Waits until `at`, then for targets that are not in `tried` and a retry for them. Never returns if the request must not
    /// be sent again.
    async fn search(&self, tried: &[HostName], at: Instant) -> Placement<N> {
        tokio::time::sleep_until(at).await;
        loop {
            if let Some(placement) = self.try_search(tried).await {
                return placement;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Other targets and a retry for them, if there are any now.
    async fn try_search(&self, tried: &[HostName]) -> Option<Placement<N>> {
        let service = &self.req.service;
        if self.req.gate.is_closed() || !self.may_follow() || !self.cx.has_retry(service) {
            return None;
        }
        let exclude = [&self.excluded(), tried].concat();
        let placement = self.place_unless_quarantined(&exclude).await.ok()?;
        // The silent target may have got the request meanwhile, or another request the last retry.
        (self.may_follow() && self.cx.try_take_retry(service)).then_some(placement)
    }

    async fn ask(&self, placement: Placement<N>) -> Result<Takeover<N>, Unanswered<N>> {
        let sent_at = Instant::now();
        let loss = match self.open(&placement, &SilenceTimer::default()).await {
            Ok(answer) if answer.first.is_some() => {
                return Ok(Takeover {
                    placement,
                    answer,
                    sent_at,
                });
            }
            Ok(_) => SendFailure::Broken("answer without events".to_owned()).into(),
            Err(loss) => loss,
        };
        Err(Unanswered {
            placement,
            loss,
            sent_at,
        })
    }

    /// The failure of the silent target that `takeover` replaces.
    fn failure_of_replaced(&self, silent: &HostName, takeover: &Takeover<N>) -> SendFailure {
        if !self.sends.is_in_flight(silent) {
            // Its helpers are silent, so it has not got the request.
            SendFailure::Superfluous
        } else if self.is_late(takeover) {
            // The other target may have been silent as well, and this one about to go on.
            SendFailure::TimedOut
        } else {
            SendFailure::Overtaken
        }
    }

    /// Whether the first event of a takeover came later than expected.
    fn is_late(&self, takeover: &Takeover<N>) -> bool {
        let times = takeover.placement.times;
        let expected_in = times.map_or(self.req.route.latency_target, |t| t.first_event_in);
        Instant::now() > overdue_at(takeover.sent_at, expected_in)
    }

    /// Records how a silence ended.
    fn on_silence_end<T>(
        &self,
        target: &HostName,
        silent_at: Instant,
        result: &Result<T, AnswerEnd<N>>,
    ) {
        let (end, message) = match result {
            Ok(_) => ("went-on", "silent target went on"),
            Err(AnswerEnd::TakenOver(..)) => ("taken-over", "silent target replaced"),
            Err(AnswerEnd::Lost(_)) => ("ended", "silent target lost"),
        };
        self.cx.metrics.on_silence(&self.req.service, end);
        self.log_silence(target, silent_at, message);
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
