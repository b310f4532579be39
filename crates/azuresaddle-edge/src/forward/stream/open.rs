//! Sends a stream's request to the targets of a placement, until the first events arrive.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::byte_budget::{HeldFor, Permit, read_held};
use azuresaddle_core::deployment::TargetEntry;
use azuresaddle_core::prelude::*;
use azuresaddle_platform::{HelperRef, encode_helpers};
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::{Response, StatusCode};
use tokio::time::Instant;

use super::placement::Placement;
use super::silence_timer::SilenceTimer;
use super::target_events::{EventBatch, TargetEvents};
use super::{AnswerStart, Relay};
use crate::forward::attempt::{SendFailure, keep_alive, send, time_until};
use crate::forward::body::ProxyBody;
use crate::forward::event_buffer::{CallerGone, PART_COST_BYTES};
use crate::forward::event_splitter::EventSplitter;
use crate::forward::head::{SendOptions, strip_hop_by_hop};
use crate::forward::plain::answer_limits;
use crate::forward::reservations::{Reservations, reserve};
use crate::targets::Connection;

/// Time after which other targets are asked if a reservation of memory has not ended: many round trips, but only a part of the
/// time that a long prompt may take.
const MAX_RESERVATION_SILENCE: Duration = Duration::from_millis(400);

/// Longest failure answer (without events) that is accepted, in bytes.
const MAX_FAILURE_BODY_BYTES: usize = 1 << 20;

/// An answer whose first events have arrived, or that ended without any.
pub(super) struct OpenAnswer {
    pub(super) start: AnswerStart,
    /// The first events; `None` if the answer has ended.
    pub(super) first: Option<EventBatch>,
    pub(super) rest: TargetEvents,
}

/// Why a target's answer is not complete.
pub(super) enum Loss {
    /// The target ran the request and answered with a failure.
    ServerError(Box<Response<ProxyBody>>),
    /// There was no answer, or it ended before it was complete.
    Failed(SendFailure),
    /// The caller disconnected.
    CallerGone,
    /// The request was not sent, since it is quarantined.
    Quarantined,
}

impl From<SendFailure> for Loss {
    fn from(failure: SendFailure) -> Self {
        Self::Failed(failure)
    }
}

impl From<CallerGone> for Loss {
    fn from(_: CallerGone) -> Self {
        Self::CallerGone
    }
}

impl<N: Network> Relay<N> {
    /// Sends the request to the targets of a placement and waits for the first events. `silence` runs while they are awaited.
    ///
    /// # Errors
    /// If there is no answer.
    pub(super) async fn open(
        &self,
        placement: &Placement<N>,
        silence: &SilenceTimer,
    ) -> Result<OpenAnswer, Loss> {
        silence.start(Instant::now() + MAX_RESERVATION_SILENCE);
        let reserved = self.reserve(placement).await?;
        silence.stop();
        // Other nodes may have reported crashes during the placement and the reservation.
        if self
            .cx
            .quarantine
            .request_status(self.req.fingerprint, &self.req.prompt_parts)
            .is_quarantined()
        {
            return Err(Loss::Quarantined);
        }
        let helpers = match &reserved {
            Some(reserved) => reserved.helpers.clone(),
            None => unreserved_helpers(&placement.helpers),
        };
        let target = &placement.target;
        let mut connection = self.cx.connect(target).await.map_err(SendFailure::from)?;
        let helpers = (!helpers.is_empty()).then(|| encode_helpers(&helpers));
        let options = SendOptions {
            target: &target.id,
            last_event_id: self.last_event_id.as_ref(),
            helpers: helpers.as_deref(),
        };
        let outgoing = self.req.for_target(&options);
        let id = &self.req.head.attempt_id;
        let timeout = time_until(self.req.deadline);
        // Others may have got the request since this target was chosen.
        if !self.sends.try_send(&target.id, self.max_targets()) {
            return Err(SendFailure::Superfluous.into());
        }
        if !self.req.gate.try_send() {
            return Err(SendFailure::Stopping.into());
        }
        silence.start(Instant::now() + placement.first_event_timeout);
        let response = send(&self.cx, target, &mut connection, outgoing, id, timeout).await?;
        self.begin_answer(reserved, connection, response, silence)
            .await
    }

    /// Reads the start of an answer and waits for the first events.
    ///
    /// # Errors
    /// If the answer reports a failure, or breaks off.
    async fn begin_answer(
        &self,
        reserved: Option<Reservations>,
        connection: Connection,
        response: Response<Incoming>,
        silence: &SilenceTimer,
    ) -> Result<OpenAnswer, Loss> {
        if !response.status().is_success() {
            let response = self.read_failure(response, connection).await?;
            return Err(Loss::ServerError(Box::new(response)));
        }
        let (parts, body) = response.into_parts();
        let mut rest = TargetEvents {
            body,
            connection,
            keep_alive: keep_alive(&parts.headers),
            _reserved: reserved,
            splitter: EventSplitter::default(),
            held: self.cx.budget_of(&self.req).empty(HeldFor::Caller),
        };
        let mut headers = parts.headers;
        strip_hop_by_hop(&mut headers);
        headers.remove(CONTENT_LENGTH);
        let start = AnswerStart::Events {
            status: parts.status,
            headers,
        };
        let first = self.first_events(&mut rest, silence).await?;
        Ok(OpenAnswer { start, first, rest })
    }

    async fn reserve(&self, placement: &Placement<N>) -> Result<Option<Reservations>, SendFailure> {
        let tokens = placement
            .guard
            .as_ref()
            .map_or(0, |p| p.helper_memory_tokens);
        if tokens == 0 {
            return Ok(None);
        }
        let id = self.req.head.id();
        let name = format!("{id}-{}", self.sends.next_reservation());
        match reserve(&self.cx, &placement.helpers, &name, tokens).await {
            Ok(reserved) => Ok(Some(reserved)),
            Err(helper) => Err(SendFailure::Declined {
                status: StatusCode::CONFLICT,
                at_fault: Some(helper.to_string()),
            }),
        }
    }

    /// Reads an answer with which the target reports a failure.
    async fn read_failure(
        &self,
        response: Response<Incoming>,
        connection: Connection,
    ) -> Result<Response<ProxyBody>, SendFailure> {
        let (parts, body) = response.into_parts();
        let limits = answer_limits(MAX_FAILURE_BODY_BYTES, self.req.deadline);
        let body = read_held(body, &self.cx.budget_of(&self.req), &limits).await?;
        if let Some(kept) = keep_alive(&parts.headers) {
            connection.return_to_pool(kept.0);
        }
        let mut response = Response::new(ProxyBody::held(body));
        *response.status_mut() = parts.status;
        *response.headers_mut() = parts.headers;
        strip_hop_by_hop(response.headers_mut());
        Ok(response)
    }

    /// Waits for the first events; `None` if the answer ends without any.
    async fn first_events(
        &self,
        events: &mut TargetEvents,
        silence: &SilenceTimer,
    ) -> Result<Option<EventBatch>, Loss> {
        loop {
            let chunk = tokio::time::timeout_at(self.req.deadline, events.chunk());
            let Some(chunk) = chunk.await.map_err(|_| SendFailure::TimedOut)?? else {
                return Ok(None);
            };
            let bytes = (chunk.len() + PART_COST_BYTES) as u64;
            if !events.held.try_grow(bytes) {
                silence.stop();
                self.hold(&mut events.held, bytes).await?;
                silence.start(Instant::now() + self.max_silence());
            }
            if let Some(batch) = events.push(&chunk)? {
                self.check_order(&batch.ids)?;
                return Ok(Some(batch));
            }
        }
    }

    /// Waits until the budget has room for the bytes of a received chunk, and takes them.
    ///
    /// # Errors
    /// If no bytes become free until the request's deadline.
    pub(super) async fn hold(&self, held: &mut Permit, bytes: u64) -> Result<(), SendFailure> {
        let room = tokio::time::timeout_at(self.req.deadline, held.grow(bytes));
        room.await.map_err(|_| SendFailure::NoRoom)
    }

    /// Checks that events continue after the last forwarded one. Returns the id of the last event.
    pub(super) fn check_order(&self, ids: &[u64]) -> Result<Option<u64>, SendFailure> {
        let mut last_id = self.last_relayed_id;
        for id in ids {
            if last_id.is_some_and(|last| last.checked_add(1) != Some(*id)) {
                return Err(SendFailure::Broken("event id is out of order".to_owned()));
            }
            last_id = Some(*id);
        }
        Ok(last_id)
    }
}

fn unreserved_helpers(helpers: &[Arc<TargetEntry>]) -> Vec<HelperRef> {
    let refs = helpers.iter().map(|h| HelperRef {
        addr: h.addr,
        reservation: None,
    });
    refs.collect()
}
