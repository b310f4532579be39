//! Relays a stream from a target to a caller.

use azuresaddle_core::prelude::*;
use azuresaddle_sched::Outcome;
use tokio::time::Instant;

use super::caller_events::{CallerEvent, EndEvent, StartEvent, TokenText};
use super::reserve::Placement;
use super::resume_token::ResumeToken;
use super::sink::CallerSink;
use super::state::Traffic;
use crate::engine::wire::TokenEvent;
use crate::engine::{EngineError, EngineStream};
use crate::peer::{Report, ReportKind};

/// Maximum number of consecutive reconnects without a new token before the target counts as failed.
const MAX_RECONNECTS: u32 = 3;

/// Progress of an answer.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Tokens that this node has sent to the caller.
    pub(super) tokens: Vec<String>,
    /// Index of the next token to send.
    pub(super) next_index: u64,
    pub(super) first_token_at: Option<Instant>,
    /// Whether a target may have started the request.
    pub(super) may_have_run: bool,
}

impl Progress {
    /// The outcome of a complete answer, with its number of tokens.
    pub(super) fn completed(&self) -> Outcome {
        let tokens = u32::try_from(self.next_index).unwrap_or(u32::MAX);
        Outcome::Done { tokens }
    }

    /// What is known about the execution of the request.
    pub(super) fn verdict(&self) -> Verdict {
        if self.may_have_run {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        }
    }
}

/// Why a relay ended without a complete answer.
#[derive(Debug)]
pub(super) enum RelayError {
    /// The caller has disconnected.
    CallerGone,
    /// Another node has taken over the stream.
    Displaced,
    /// The target failed; another one may succeed.
    TargetFailed(String),
    /// The target refused the request without having failed; the same one may accept it later.
    TargetRefused(String),
    /// The request ends with this problem and is not retried.
    Failed(Problem),
}

/// What the relay does after an event.
enum EventEffect {
    Continue,
    Complete,
    /// The connection delivered a wrong event or skipped one, for the given reason; read on from a
    /// new one.
    Reconnect(String),
}

/// Relays one attempt.
pub(super) struct Relay<'a, N> {
    pub(super) traffic: &'a Traffic<N>,
    pub(super) account: &'a ClientAccount,
    pub(super) placement: &'a Placement,
    pub(super) sink: &'a mut CallerSink,
    pub(super) progress: &'a mut Progress,
    /// Whether the start event, with this attempt's resume token, was sent.
    pub(super) is_start_sent: bool,
}

impl<N: Network> Relay<'_, N> {
    /// Reads the stream to its end, reconnecting when a connection breaks.
    ///
    /// Every event is checked: an event of another stream is never forwarded, a duplicate is
    /// dropped, and after a gap the stream is read again from the missing event.
    pub(super) async fn run(&mut self, mut opened: Option<EngineStream>) -> Result<(), RelayError> {
        let mut failure = String::new();
        let mut reconnects = 0;
        loop {
            let connection = match opened.take() {
                Some(events) => Ok(events),
                None if reconnects >= MAX_RECONNECTS => {
                    return Err(RelayError::TargetFailed(failure));
                }
                None => {
                    reconnects += 1;
                    self.reconnect().await?
                }
            };
            let before = self.progress.next_index;
            match connection {
                Ok(events) => match self.read_connection(events).await? {
                    None => return self.send_end().await,
                    Some(broken) => failure = broken,
                },
                Err(unreachable) => failure = unreachable,
            }
            if self.progress.next_index > before {
                reconnects = 0;
            }
        }
    }

    /// Opens a connection at the next token. After the inner error, reconnecting may still succeed.
    async fn reconnect(&self) -> Result<Result<EngineStream, String>, RelayError> {
        let Some((_, lead)) = self.placement.targets.first() else {
            return Err(RelayError::TargetFailed(
                "no target was reserved".to_owned(),
            ));
        };
        let own = &self.traffic.settings.name;
        let next = self.progress.next_index;
        let stream = self.placement.stream;
        let engines = &self.traffic.engines;
        match engines.resume(*lead, stream, next, own, false).await {
            Ok(events) => Ok(Ok(events)),
            Err(EngineError::Displaced) => Err(RelayError::Displaced),
            Err(e @ EngineError::UnknownStream) => Err(RelayError::TargetFailed(e.to_string())),
            Err(e) => Ok(Err(e.to_string())),
        }
    }

    /// Reads one connection to its end; returns the reason if it ended before the last token.
    async fn read_connection(
        &mut self,
        mut events: EngineStream,
    ) -> Result<Option<String>, RelayError> {
        loop {
            let event = match events.next().await {
                Ok(event) => event,
                Err(e) => return Ok(Some(e.to_string())),
            };
            match self.handle_event(event).await? {
                EventEffect::Continue => {}
                EventEffect::Complete => return Ok(None),
                EventEffect::Reconnect(why) => return Ok(Some(why)),
            }
        }
    }

    async fn handle_event(&mut self, event: TokenEvent) -> Result<EventEffect, RelayError> {
        if event.stream != self.placement.stream {
            self.traffic.metrics.count("traffic.crossed_event");
            return Ok(EventEffect::Reconnect(
                "another stream's event came".to_owned(),
            ));
        }
        if event.index < self.progress.next_index {
            return Ok(EventEffect::Continue);
        }
        if event.index > self.progress.next_index {
            return Ok(EventEffect::Reconnect("an event is missing".to_owned()));
        }
        let last = event.last;
        self.forward_token(event).await?;
        Ok(if last {
            EventEffect::Complete
        } else {
            EventEffect::Continue
        })
    }

    /// Forwards a token to the caller, after the start event if that was not sent yet.
    async fn forward_token(&mut self, event: TokenEvent) -> Result<(), RelayError> {
        if !self.is_start_sent {
            self.send_start().await?;
        }
        let text = TokenText {
            request: self.placement.stream.request,
            index: event.index,
            token: event.token.clone(),
        };
        self.sink.send(&CallerEvent::Token(text)).await?;
        self.progress.next_index += 1;
        self.progress.tokens.push(event.token);
        Ok(())
    }

    /// Sends the caller the attempt's resume token, and reports to the owner that the prefill is
    /// over.
    async fn send_start(&mut self) -> Result<(), RelayError> {
        self.is_start_sent = true;
        self.progress
            .first_token_at
            .get_or_insert_with(Instant::now);
        self.traffic.report(self.placement, ReportKind::FirstToken);
        let target = self.placement.targets.first().map(|(name, _)| name.clone());
        let token = ResumeToken {
            account: self.account.clone(),
            pool: self.placement.pool.clone(),
            stream: self.placement.stream,
            target: target.unwrap_or_else(|| HostName::new("")),
            epoch: self.placement.epoch,
        };
        let start = StartEvent {
            request: self.placement.stream.request,
            resume_token: token.encode(),
        };
        self.sink.send(&CallerEvent::Start(start)).await
    }

    async fn send_end(&mut self) -> Result<(), RelayError> {
        let end = EndEvent {
            request: self.placement.stream.request,
            tokens: self.progress.next_index,
        };
        self.sink.send(&CallerEvent::End(end)).await
    }
}

impl<N: Network> Traffic<N> {
    /// Queues a report to the owner of the placement's pool.
    pub(super) fn report(&self, placement: &Placement, kind: ReportKind) {
        self.reports.send(Report {
            pool: placement.pool.clone(),
            stream: placement.stream,
            kind,
        });
    }
}
