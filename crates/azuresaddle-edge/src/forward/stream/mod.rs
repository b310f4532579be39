//! Requests that are answered with a stream of events.
//!
//! A relay task sends the request and forwards complete events as they arrive. If a send fails and the route allows a
//! retry, it resumes the stream at another target after the last forwarded event. While a target is silent, the request is
//! also sent to another one, and the stream continues with the first of them that sends events.

mod finish;
mod open;
mod placement;
mod relay;
mod sends;
mod silence_timer;
mod takeover;
mod target_events;
#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::burn::Sample;
use azuresaddle_core::prelude::*;
use azuresaddle_sched::passes::StreamOutcome;
use azuresaddle_sched::quarantine::SURVIVAL_TIME;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Response, StatusCode};
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::attempt::{SendFailure, time_until};
use super::body::ProxyBody;
use super::crash_check::{record_successful_run, record_survived_parts};
use super::disconnect_log::{AnswerProgress, DisconnectLog};
use super::event_buffer::{EventSender, event_buffer};
use super::forwarder::Forwarder;
use super::head::ForwardRequest;
use super::problem::problem_response;
use open::Loss;
use placement::Placement;
use sends::StreamSends;
use takeover::{AnswerEnd, Takeover};

/// Maximum number of sends of one request after which it did not run.
const MAX_DECLINED: u32 = 5;

/// Time after which a request that all targets have declined is sent to them again: about the duration of a short request.
const DECLINED_PAUSE: Duration = Duration::from_millis(300);

/// Target for the longest pause between events, if the route states none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(500);

/// `Retry-After` if it is not known when a target will be free.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Forwards a request that is answered with a stream of events.
pub(super) async fn forward_stream<N: Network>(
    cx: Arc<Forwarder<N>>,
    req: Arc<ForwardRequest>,
    disconnect_log: DisconnectLog,
) -> Response<ProxyBody> {
    let tasks = cx.spawner.clone();
    let cancel = CancellationToken::new();
    let guard = cancel.clone().drop_guard();
    let (start_tx, start_rx) = oneshot::channel();
    let (events_tx, events_rx) = event_buffer();
    let relay = Relay {
        progress: disconnect_log.progress(),
        cx,
        last_event_id: req.head.last_event_id.clone(),
        req,
        start_tx: Some(start_tx),
        events: events_tx,
        last_relayed_id: None,
        sends: StreamSends::default(),
        first_event_ms: None,
        last_event_at: None,
        answered_at: None,
        longest_pause: Duration::ZERO,
        first_placement: None,
    };
    tasks.spawn(async move {
        // Dropped after the relay, when the answer is complete or the caller has disconnected.
        let _disconnect_log = disconnect_log;
        tokio::select! {
            biased;
            // Dropping the relay closes the connection, so the target stops processing.
            () = cancel.cancelled() => {}
            () = relay.run() => {}
        }
    });
    match start_rx.await {
        Ok(AnswerStart::Complete(response)) => *response,
        Ok(AnswerStart::Events { status, headers }) => {
            let mut response = Response::new(ProxyBody::relayed(events_rx, guard));
            *response.status_mut() = status;
            *response.headers_mut() = headers;
            response
        }
        Err(_) => problem_response(StatusCode::BAD_GATEWAY, "the relay ended"),
    }
}

/// Start of the answer to the caller.
enum AnswerStart {
    /// A complete answer.
    Complete(Box<Response<ProxyBody>>),
    /// The head of a stream; the events follow.
    Events {
        status: StatusCode,
        headers: HeaderMap,
    },
}

/// Why there is no target for a request.
enum PlaceError {
    /// No target accepts the request now; the time after which to retry.
    RetryAfter(Duration),
    /// The request is quarantined.
    Quarantined,
}

/// How a stream ended, unless its caller disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    /// The answer is complete.
    Complete,
    /// The request did not run.
    Refused,
    /// The request may have run, but there is no complete answer.
    Failed,
}

/// State of one stream, over all its sends.
struct Relay<N: Network> {
    progress: Arc<AnswerProgress>,
    cx: Arc<Forwarder<N>>,
    req: Arc<ForwardRequest>,
    /// Takes the start of the answer; `None` once it is sent.
    start_tx: Option<oneshot::Sender<AnswerStart>>,
    events: EventSender,
    /// Id of the last event that the caller has, from its request or the last one forwarded.
    last_event_id: Option<HeaderValue>,
    /// Id of the last event that was forwarded here.
    last_relayed_id: Option<u64>,
    sends: StreamSends,
    /// Time from the arrival of the request to the first event.
    first_event_ms: Option<u64>,
    /// When the last event was received.
    last_event_at: Option<Instant>,
    /// When the first event of the current send was received.
    answered_at: Option<Instant>,
    /// Longest time between two events so far.
    longest_pause: Duration,
    /// Times of the first placement, for the log.
    first_placement: Option<PlacementTimes>,
}

/// Times of a stream's placement on engines.
#[derive(Clone, Copy, Debug)]
struct PlacementTimes {
    /// From the arrival of the request to the placement.
    waited: Duration,
    /// Expected time from the placement to the first event.
    first_event_in: Duration,
}

impl<N: Network> Relay<N> {
    async fn run(mut self) {
        let mut takeover = None;
        loop {
            let (placement, open, sent_at) = match takeover.take() {
                Some(Takeover {
                    placement,
                    answer,
                    sent_at,
                }) => (Ok(placement), Some(answer), sent_at),
                None => {
                    self.await_declined_targets().await;
                    let placement = self.place_unless_quarantined(&self.excluded()).await;
                    (placement, None, Instant::now())
                }
            };
            let placement = match placement {
                Ok(placement) => placement,
                Err(PlaceError::RetryAfter(retry_after)) => return self.refuse(retry_after),
                Err(PlaceError::Quarantined) => return self.refuse_quarantined(),
            };
            self.first_placement = self.first_placement.or(placement.times);
            let result = self.send(&placement, open).await;
            if self.has_survived() {
                record_survived_parts(&self.cx, &self.req, &placement.target);
            }
            match result {
                Ok(()) => return self.on_complete(placement, sent_at),
                Err(AnswerEnd::TakenOver(next, loss)) => {
                    self.end_lost(placement, loss, sent_at);
                    takeover = Some(*next);
                }
                Err(AnswerEnd::Lost(Loss::Quarantined)) => {
                    placement.end(StreamOutcome::Cancelled);
                    return self.refuse_quarantined();
                }
                Err(AnswerEnd::Lost(Loss::CallerGone)) => {
                    return placement.end(StreamOutcome::Cancelled);
                }
                Err(AnswerEnd::Lost(loss @ Loss::ServerError(_))) => {
                    self.end_lost(placement, loss, sent_at);
                    if !self.may_run_again() {
                        return self.give_up(&SendFailure::Broken("target failed".to_owned()));
                    }
                }
                Err(AnswerEnd::Lost(Loss::Failed(failure))) => {
                    self.end_failed(placement, &failure, sent_at).await;
                    if !self.may_send_again(&failure) {
                        return self.give_up(&failure);
                    }
                }
            }
        }
    }

    /// Records a lost answer, and ends its placement without waiting for the crash check.
    fn end_lost(&self, placement: Placement<N>, loss: Loss, sent_at: Instant) {
        let outcome = self.record_loss(&placement.target, loss, sent_at, self.unproven_parts());
        placement.end(outcome);
    }

    /// Records a failed send, waits for its crash check, and ends its placement.
    async fn end_failed(&self, placement: Placement<N>, failure: &SendFailure, sent_at: Instant) {
        let (target, parts) = (&placement.target, self.unproven_parts());
        let check = self.record_failed_send(target, failure, sent_at, parts);
        if let Some(check) = check {
            check.await;
        }
        let outcome = self.outcome_of(target.id.clone(), failure);
        placement.end(outcome);
    }

    /// Records a complete answer, and ends its placement.
    fn on_complete(self, placement: Placement<N>, sent_at: Instant) {
        let target = &placement.target;
        let parts = self.unproven_parts();
        record_successful_run(&self.cx, &self.req, parts, target, sent_at);
        self.cx.metrics.on_send(&self.req.service, "answered");
        self.log(&target.id, "stream complete");
        self.record_sample(StreamEnd::Complete);
        placement.end(StreamOutcome::Done);
    }

    /// Outcome of a failed send to report to the owner.
    fn outcome_of(&self, lead: HostName, failure: &SendFailure) -> StreamOutcome {
        match failure {
            // The target at fault is excluded for this request. The lead itself did not fail.
            SendFailure::Declined {
                at_fault: Some(_), ..
            } => StreamOutcome::Cancelled,
            SendFailure::Declined { .. } => match self.cx.health.back_offs().until(&lead) {
                Some(until) => StreamOutcome::TargetBacksOff {
                    target: lead,
                    time: until - Instant::now(),
                },
                None => StreamOutcome::TargetRefused(lead),
            },
            // Only another target that answers shows that a silent one is at fault.
            SendFailure::TimedOut
            | SendFailure::InBackOff
            | SendFailure::Stopping
            | SendFailure::Superfluous
            | SendFailure::NoRoom => StreamOutcome::Cancelled,
            SendFailure::WrongTarget => StreamOutcome::TargetFailed(lead),
            SendFailure::NotSent(_)
            | SendFailure::ConnectTimeout
            | SendFailure::NoPath
            | SendFailure::Broken(_)
            | SendFailure::Overtaken
            | SendFailure::Stalled { .. } => {
                // Other nodes may reach the target, so the owner must not take it out of use for them.
                if self.cx.paths.is_at_fault(&lead) {
                    StreamOutcome::Cancelled
                } else {
                    StreamOutcome::TargetFailed(lead)
                }
            }
        }
    }

    /// Whether the target has lived on for a while after it began to answer the current send.
    fn has_survived(&self) -> bool {
        self.answered_at
            .is_some_and(|at| at.elapsed() >= SURVIVAL_TIME)
    }

    /// Parts of the prompt that the target of the current send may have crashed of. It prefills all of them before the
    /// first event, so what happens some time after that has another cause.
    fn unproven_parts(&self) -> &[Fingerprint] {
        if self.has_survived() {
            &[]
        } else {
            &self.req.prompt_parts
        }
    }

    fn pause_target(&self) -> Duration {
        self.req.route.pause_target.unwrap_or(DEFAULT_PAUSE)
    }

    /// Adds the stream to the service-level counts.
    fn record_sample(&self, end: StreamEnd) {
        let first_token = self.first_event_ms.map(Duration::from_millis);
        let target = self.req.route.latency_target;
        let sample = Sample {
            first_token,
            first_token_missed: first_token.is_none_or(|took| took > target),
            deadline_missed: time_until(self.req.deadline).is_zero(),
            answered: end == StreamEnd::Complete,
            refused: end == StreamEnd::Refused,
        };
        self.cx.record(&self.req, &sample);
    }

    fn log(&self, target: &HostName, what: &'static str) {
        tracing::info!(
            part = "forward",
            request = self.req.head.id(),
            route = %self.req.route.name,
            target = %target,
            runs = self.sends.lost(),
            declined = self.sends.declined(),
            last_event = self.last_relayed_id,
            first_event_ms = self.first_event_ms,
            target_ms = self.req.route.latency_target.as_millis() as u64,
            queued_ms = self.first_placement.map(|p| p.waited.as_millis() as u64),
            expected_ms = self.first_placement.map(|p| p.first_event_in.as_millis() as u64),
            longest_pause_ms = self.longest_pause.as_millis() as u64,
            pause_target_ms = self.pause_target().as_millis() as u64,
            age_ms = self.req.arrived.elapsed().as_millis() as u64,
            left_ms = time_until(self.req.deadline).as_millis() as u64,
            prompt_tokens = self.req.token_counts().map(|(prompt, _)| prompt),
            retry_in_ms = self.cx.retry_in(&self.req.service).map(|back_off| back_off.as_millis() as u64),
            "{what}"
        );
    }
}
