//! Relays one stream of a target to a caller.

use azuresaddle_core::prelude::*;
use azuresaddle_sched::Outcome;
use tokio::time::Instant;

use super::caller_events::{CallerEvent, EndEvent, StartEvent, TokenText};
use super::reserve::Placement;
use super::resume_token::ResumeToken;
use super::sink::CallerSink;
use super::state::Traffic;
use crate::engine::wire::TokenEvent;
use crate::engine::{EngineFailure, EngineStream};
use crate::peer::{Report, ReportKind};

/// Connections that are opened in a row to go on with a stream before its target is given up.
const MAX_RECONNECTS: u32 = 3;

/// How far an answer is.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Tokens that the caller has from this node.
    pub(super) tokens: Vec<String>,
    /// Index of the next token.
    pub(super) next_index: u64,
    pub(super) first_token_at: Option<Instant>,
    /// Whether a target may have started the request.
    pub(super) may_have_run: bool,
}

impl Progress {
    /// The outcome of a whole answer.
    pub(super) fn completed(&self) -> Outcome {
        let tokens = u32::try_from(self.next_index).unwrap_or(u32::MAX);
        Outcome::Done { tokens }
    }

    /// What is known of the request's execution.
    pub(super) fn verdict(&self) -> Verdict {
        if self.may_have_run {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        }
    }
}

/// Why a relay ended without a whole answer.
#[derive(Debug)]
pub(super) enum RelayError {
    /// The caller has gone away.
    CallerGone,
    /// The caller goes on through another node.
    Displaced,
    /// The target failed; another one may do.
    TargetFailed(String),
    /// The target did not take the request, but is not at fault; the same one may do later.
    TargetRefused(String),
    /// The answer can't be finished.
    Failed(Problem),
}

/// What one event did to the relay.
enum EventEffect {
    Continue,
    Complete,
    /// The connection can't be trusted any more; a new one may do.
    Reconnect(String),
}

/// A relay of one attempt.
pub(super) struct Relay<'a, N> {
    pub(super) traffic: &'a Traffic<N>,
    pub(super) account: &'a ClientAccount,
    pub(super) placement: &'a Placement,
    pub(super) sink: &'a mut CallerSink,
    pub(super) progress: &'a mut Progress,
    /// Whether the caller has this attempt's resume token.
    pub(super) is_start_sent: bool,
}

impl<N: Network> Relay<'_, N> {
    /// Reads the stream to its end over as many connections as it takes.
    ///
    /// Every event is checked: another stream's is never passed on, a doubled one is dropped, and
    /// after a missing one the stream is read again from there.
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

    /// Opens a connection at the next token; the inner error is worth another try.
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
            Err(EngineFailure::Displaced) => Err(RelayError::Displaced),
            Err(e @ EngineFailure::UnknownStream) => Err(RelayError::TargetFailed(e.to_string())),
            Err(e) => Ok(Err(e.to_string())),
        }
    }

    /// Reads one connection; returns why it ended before the last token, if it did.
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

    /// Passes one token on to the caller.
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

    /// Gives the caller the attempt's resume token, and tells the owner that the prefill is over.
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
    /// Queues a report to the owner.
    pub(super) fn report(&self, placement: &Placement, kind: ReportKind) {
        self.reports.send(Report {
            pool: placement.pool.clone(),
            stream: placement.stream,
            kind,
        });
    }
}
