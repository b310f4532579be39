//! Sends a stream's request to a target and relays the events.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::byte_budget::{HeldBytes, HeldFor, Permit, read_held};
use azuresaddle_core::deployment::TargetEntry;
use azuresaddle_core::prelude::*;
use azuresaddle_platform::{HelperRef, encode_helpers};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use hyper::{Response, StatusCode};
use tokio::time::Instant;

use super::placement::Placement;
use super::{AnswerStart, Relay, SendOutcome};
use crate::forward::attempt::{SendFailure, keep_alive, send, time_until};
use crate::forward::body::ProxyBody;
use crate::forward::event_buffer::{CallerGone, PART_COST_BYTES};
use crate::forward::event_splitter::EventSplitter;
use crate::forward::head::{SendOptions, strip_hop_by_hop};
use crate::forward::plain::answer_limits;
use crate::forward::reservations::{Reservations, reserve};
use crate::targets::Connection;

/// Longest failure answer (without events) that is accepted, in bytes.
const MAX_FAILURE_BODY_BYTES: usize = 1 << 20;

/// Silence after which another target may take over, in multiples of the pause target. Callers wait for 8; an engine pass that
/// placement allows takes up to 3.5.
const SILENCE_PAUSES: u32 = 6;

/// Shortest silence after which another target may take over.
const MIN_SILENCE: Duration = Duration::from_millis(700);

impl<N: Network> Relay<N> {
    /// Sends the request to the targets of a placement and relays the answer.
    pub(super) async fn send(&mut self, placement: &Placement<N>) -> SendOutcome<N> {
        self.answered_at = None;
        let reserved = match self.reserve(placement).await {
            Ok(reserved) => reserved,
            Err(failure) => return SendOutcome::Lost(failure),
        };
        // Other nodes may have reported crashes during the placement and the reservation.
        if self
            .cx
            .quarantine
            .request_status(self.req.fingerprint, &self.req.prompt_parts)
            .is_quarantined()
        {
            return SendOutcome::Quarantined;
        }
        let helpers = match &reserved {
            Some(reserved) => reserved.helpers.clone(),
            None => unreserved_helpers(&placement.helpers),
        };
        let mut connection = match self.cx.connect(&placement.target).await {
            Ok(connection) => connection,
            Err(e) => return SendOutcome::Lost(e.into()),
        };
        let helpers = (!helpers.is_empty()).then(|| encode_helpers(&helpers));
        let options = SendOptions {
            target: &placement.target.id,
            last_event_id: self.last_event_id.as_ref(),
            helpers: helpers.as_deref(),
        };
        let outgoing = self.req.for_target(&options);
        let first_event_by = Instant::now() + placement.first_event_timeout;
        let id = &self.req.head.attempt_id;
        let timeout = time_until(self.req.deadline);
        if !self.req.gate.try_send() {
            return SendOutcome::Lost(SendFailure::Stopping);
        }
        let sent = send(
            &self.cx,
            &placement.target,
            &mut connection,
            outgoing,
            id,
            timeout,
        );
        let sent = tokio::select! {
            biased;
            sent = sent => sent,
            next = self.replacement(&placement.target.id, first_event_by) => {
                return SendOutcome::Replaced(next);
            }
        };
        let response = match sent {
            Ok(response) => response,
            Err(failure) => return SendOutcome::Lost(failure),
        };
        if !response.status().is_success() {
            return self.read_failure(response, connection).await;
        }
        self.relay(placement, response, connection, first_event_by)
            .await
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
        let name = format!("{id}-{}", self.runs + self.declined);
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
    ) -> SendOutcome<N> {
        let (parts, body) = response.into_parts();
        let limits = answer_limits(MAX_FAILURE_BODY_BYTES, self.req.deadline);
        let body = match read_held(body, &self.cx.budget_of(&self.req), &limits).await {
            Ok(body) => body,
            Err(e) => return SendOutcome::Lost(e.into()),
        };
        if let Some(kept) = keep_alive(&parts.headers) {
            connection.return_to_pool(kept.0);
        }
        let mut response = Response::new(ProxyBody::held(body));
        *response.status_mut() = parts.status;
        *response.headers_mut() = parts.headers;
        strip_hop_by_hop(response.headers_mut());
        SendOutcome::Failed(Box::new(response))
    }

    /// Forwards events until the stream ends.
    async fn relay(
        &mut self,
        placement: &Placement<N>,
        response: Response<Incoming>,
        connection: Connection,
        first_event_by: Instant,
    ) -> SendOutcome<N> {
        let (parts, mut body) = response.into_parts();
        let kept = keep_alive(&parts.headers);
        let mut headers = parts.headers;
        strip_hop_by_hop(&mut headers);
        headers.remove(CONTENT_LENGTH);
        let mut start = Some(AnswerStart::Events {
            status: parts.status,
            headers,
        });
        let mut splitter = EventSplitter::default();
        let max_silence = (self.pause_target() * SILENCE_PAUSES).max(MIN_SILENCE);
        let mut silent_at = first_event_by;
        let mut seen_first = false;
        // Covers the events that are incomplete.
        let mut held = self.cx.budget_of(&self.req).empty(HeldFor::Caller);
        loop {
            match self.events.room().await {
                Ok(false) => {}
                // The target is not at fault for the time in which it was not read.
                Ok(true) => silent_at = Instant::now() + max_silence,
                Err(CallerGone) => return SendOutcome::CallerGone,
            }
            let frame = tokio::select! {
                biased;
                frame = tokio::time::timeout_at(self.req.deadline, body.frame()) => frame,
                next = self.replacement(&placement.target.id, silent_at) => {
                    return SendOutcome::Replaced(next);
                }
            };
            let chunk = match frame {
                Err(_) => return SendOutcome::Lost(SendFailure::TimedOut),
                Ok(None) => break,
                Ok(Some(Err(e))) => return SendOutcome::Lost(SendFailure::Broken(e.to_string())),
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
            };
            match self.hold(&mut held, chunk.len() + PART_COST_BYTES).await {
                Ok(false) => {}
                Ok(true) => silent_at = Instant::now() + max_silence,
                Err(outcome) => return outcome,
            }
            let Some(events) = splitter.push(&chunk) else {
                return SendOutcome::Lost(SendFailure::Broken("event is too long".to_owned()));
            };
            if events.lengths.is_empty() {
                continue;
            }
            let now = Instant::now();
            silent_at = now + max_silence;
            self.progress.on_event(now);
            if let Some(last) = self.last_event_at.replace(now) {
                self.longest_pause = self.longest_pause.max(now - last);
            }
            if !seen_first {
                seen_first = true;
                self.answered_at = Some(now);
                self.record_first_event();
                placement.on_first_event();
            }
            let Some(bytes) = self.check_order(events.bytes, &events.ids) else {
                return SendOutcome::Lost(SendFailure::Broken(
                    "event id is out of order".to_owned(),
                ));
            };
            let partial = splitter.partial_bytes() as u64;
            let permit = held.split(held.bytes() - partial);
            let bytes = HeldBytes::new(bytes, permit);
            if !self.send_start(&mut start) || self.events.push(bytes).is_err() {
                return SendOutcome::CallerGone;
            }
        }
        if splitter.has_partial_event() {
            return SendOutcome::Lost(SendFailure::Broken(
                "stream ended inside an event".to_owned(),
            ));
        }
        if let Some(kept) = kept {
            connection.return_to_pool(kept.0);
        }
        self.progress.complete();
        if !self.send_start(&mut start) || self.events.end().is_err() {
            return SendOutcome::CallerGone;
        }
        SendOutcome::Complete
    }

    /// Takes the bytes of a received chunk from the budget. Returns whether it had to wait.
    ///
    /// # Errors
    /// If the caller disconnects, or no bytes become free until the request's deadline.
    async fn hold(&self, held: &mut Permit, bytes: usize) -> Result<bool, SendOutcome<N>> {
        let bytes = bytes as u64;
        if held.try_grow(bytes) {
            return Ok(false);
        }
        let room = tokio::time::timeout_at(self.req.deadline, held.grow(bytes));
        match self.events.paused(room).await {
            Ok(Ok(())) => Ok(true),
            Ok(Err(_)) => Err(SendOutcome::Lost(SendFailure::NoRoom)),
            Err(CallerGone) => Err(SendOutcome::CallerGone),
        }
    }

    fn record_first_event(&mut self) {
        if self.first_event_ms.is_some() {
            return;
        }
        let took = self.req.arrived.elapsed();
        self.first_event_ms = Some(took.as_millis() as u64);
        self.cx.metrics.on_first_event(&self.req.service, took);
    }

    /// Sends the start of the answer, unless it was sent before. Returns `false` if the caller has disconnected.
    fn send_start(&mut self, start: &mut Option<AnswerStart>) -> bool {
        match (self.start_tx.take(), start.take()) {
            (Some(tx), Some(start)) => tx.send(start).is_ok(),
            _ => true,
        }
    }

    /// Checks that events continue after the last forwarded one, and updates its id. Returns `None` if not.
    fn check_order(&mut self, bytes: Bytes, ids: &[u64]) -> Option<Bytes> {
        let mut last_relayed_id = self.last_relayed_id;
        for id in ids {
            if last_relayed_id.is_some_and(|last| *id != last + 1) {
                return None;
            }
            last_relayed_id = Some(*id);
        }
        self.last_relayed_id = last_relayed_id;
        if let Some(last) = self.last_relayed_id {
            let value = HeaderValue::try_from(last.to_string()).expect("a number is ASCII");
            self.last_event_id = Some(value);
        }
        Some(bytes)
    }
}

fn unreserved_helpers(helpers: &[Arc<TargetEntry>]) -> Vec<HelperRef> {
    let refs = helpers.iter().map(|h| HelperRef {
        addr: h.addr,
        reservation: None,
    });
    refs.collect()
}
