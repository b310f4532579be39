//! One send of a stream's request, and the relay of its events.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::deployment::TargetEntry;
use azuresaddle_core::prelude::*;
use azuresaddle_platform::{HelperRef, encode_helpers};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use hyper::{Response, StatusCode};
use tokio::time::Instant;

use super::place::Place;
use super::{Begin, Relay, Sent};
use crate::forward::attempt::{SendFailure, kept_for, send, until};
use crate::forward::body::{Piece, ProxyBody};
use crate::forward::event_splitter::EventSplitter;
use crate::forward::head::{Sending, strip_hop_by_hop};
use crate::forward::reservations::{Reservations, reserve};
use crate::targets::Connection;

/// Longest answer without events that is taken whole, in bytes.
const MAX_WHOLE_BYTES: usize = 1 << 20;

/// Longest pauses after which a target counts as silent in the middle of a stream; callers wait for
/// eight, and a pass that placement allows takes up to three and a half.
const PAUSE_PATIENCE: u32 = 6;

/// Shortest such time.
const MIN_PAUSE_PATIENCE: Duration = Duration::from_millis(700);

impl<N: Network> Relay<N> {
    /// Sends the request to one place and relays what comes.
    pub(super) async fn send(&mut self, place: &Place<N>) -> Sent {
        let reserved = match self.reserve(place).await {
            Ok(reserved) => reserved,
            Err(failure) => return Sent::Lost(failure),
        };
        // While memory was reserved, or the owner was asked, another node may have seen more.
        if self
            .cx
            .quarantine
            .standing(self.req.fingerprint)
            .is_quarantined()
        {
            return Sent::Quarantined;
        }
        let helpers = match &reserved {
            Some(reserved) => reserved.helpers.clone(),
            None => plain_helpers(&place.helpers),
        };
        let mut connection = match self.cx.connect(&place.target).await {
            Ok(connection) => connection,
            Err(e) => return Sent::Lost(SendFailure::NotSent(e.to_string())),
        };
        let helpers = (!helpers.is_empty()).then(|| encode_helpers(&helpers));
        let to = Sending {
            target: &place.target.id,
            last_event_id: self.last_event_id.as_ref(),
            helpers: helpers.as_deref(),
        };
        let outgoing = self.req.for_target(&to);
        let first_event_at = self.wait_until(place.first_event_patience);
        let id = &self.req.head.attempt_id;
        let patience = until(first_event_at);
        let sent = send(
            &self.cx,
            &place.target,
            &mut connection,
            outgoing,
            id,
            patience,
        );
        let response = match sent.await {
            Ok(response) => response,
            Err(failure) => return Sent::Lost(failure),
        };
        if !response.status().is_success() {
            return self.take_failure(response, connection).await;
        }
        self.relay(place, response, connection, first_event_at)
            .await
    }

    async fn reserve(&self, place: &Place<N>) -> Result<Option<Reservations>, SendFailure> {
        let tokens = place.placed.as_ref().map_or(0, |p| p.helper_memory_tokens);
        if tokens == 0 {
            return Ok(None);
        }
        let id = self.req.head.id();
        let name = format!("{id}-{}", self.runs + self.declined);
        match reserve(&self.cx, &place.helpers, &name, tokens).await {
            Ok(reserved) => Ok(Some(reserved)),
            Err(at) => Err(SendFailure::Declined {
                status: StatusCode::CONFLICT,
                at: Some(at.to_string()),
            }),
        }
    }

    /// Takes a failure that the target made itself.
    async fn take_failure(&self, response: Response<Incoming>, connection: Connection) -> Sent {
        let (parts, body) = response.into_parts();
        let collect = Limited::new(body, MAX_WHOLE_BYTES).collect();
        let body = match tokio::time::timeout_at(self.req.deadline, collect).await {
            Err(_) => return Sent::Lost(SendFailure::Silent),
            Ok(Err(e)) => return Sent::Lost(SendFailure::Broken(e.to_string())),
            Ok(Ok(body)) => body.to_bytes(),
        };
        if let Some(kept) = kept_for(&parts.headers) {
            connection.return_to_pool(kept.0);
        }
        let mut response = Response::new(ProxyBody::whole(body));
        *response.status_mut() = parts.status;
        *response.headers_mut() = parts.headers;
        strip_hop_by_hop(response.headers_mut());
        Sent::Failed(Box::new(response))
    }

    /// Passes events on until the stream ends.
    async fn relay(
        &mut self,
        place: &Place<N>,
        response: Response<Incoming>,
        connection: Connection,
        first_event_at: Instant,
    ) -> Sent {
        let (parts, mut body) = response.into_parts();
        let kept = kept_for(&parts.headers);
        let mut headers = parts.headers;
        strip_hop_by_hop(&mut headers);
        headers.remove(CONTENT_LENGTH);
        let mut begin = Some(Begin::Events {
            status: parts.status,
            headers,
        });
        let mut splitter = EventSplitter::default();
        let silence = (self.pause() * PAUSE_PATIENCE).max(MIN_PAUSE_PATIENCE);
        let mut next_by = first_event_at;
        let mut seen_first = false;
        loop {
            let next_by_or_end = next_by.min(self.req.deadline);
            let chunk = match tokio::time::timeout_at(next_by_or_end, body.frame()).await {
                Err(_) => return Sent::Lost(SendFailure::Silent),
                Ok(None) => break,
                Ok(Some(Err(e))) => return Sent::Lost(SendFailure::Broken(e.to_string())),
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
            };
            let Some(events) = splitter.push(&chunk) else {
                return Sent::Lost(SendFailure::Broken("event too long".to_owned()));
            };
            if events.lengths.is_empty() {
                continue;
            }
            let now = Instant::now();
            next_by = self.wait_until(silence);
            if let Some(last) = self.last_event_at.replace(now) {
                self.longest_pause = self.longest_pause.max(now - last);
            }
            if !seen_first {
                seen_first = true;
                self.note_first_event();
                place.on_first_event();
            }
            let Some(bytes) = self.next_in_order(events.bytes, &events.ids) else {
                return Sent::Lost(SendFailure::Broken("event out of order".to_owned()));
            };
            if !self.begin(&mut begin) || self.pieces.send(Piece::Data(bytes)).await.is_err() {
                return Sent::CallerGone;
            }
        }
        if splitter.has_rest() {
            return Sent::Lost(SendFailure::Broken("ended inside an event".to_owned()));
        }
        if let Some(kept) = kept {
            connection.return_to_pool(kept.0);
        }
        self.completion.set();
        if !self.begin(&mut begin) || self.pieces.send(Piece::End).await.is_err() {
            return Sent::CallerGone;
        }
        Sent::Complete
    }

    /// Until when a silent target is waited for: where no other one may take over, until the end,
    /// since a slow target is still at work and a dead one breaks the connection.
    fn wait_until(&self, patience: Duration) -> Instant {
        let may_switch = self.req.is_idempotent() && self.runs + 1 < self.req.route.max_attempts;
        let until = Instant::now() + patience;
        if may_switch {
            until.min(self.req.deadline)
        } else {
            self.req.deadline
        }
    }

    fn note_first_event(&mut self) {
        if self.first_event_ms.is_some() {
            return;
        }
        let took = self.req.arrived.elapsed();
        self.first_event_ms = Some(took.as_millis() as u64);
        self.cx.metrics.on_first_event(&self.req.service, took);
    }

    /// Sends the head on, once for the whole answer; false where the caller left.
    fn begin(&mut self, begin: &mut Option<Begin>) -> bool {
        match (self.head.take(), begin.take()) {
            (Some(tx), Some(begin)) => tx.send(begin).is_ok(),
            _ => true,
        }
    }

    /// Checks that events go on where the last ones ended, and notes the last.
    fn next_in_order(&mut self, bytes: Bytes, ids: &[u64]) -> Option<Bytes> {
        let mut last_id = self.last_id;
        for id in ids {
            if last_id.is_some_and(|last| *id != last + 1) {
                return None;
            }
            last_id = Some(*id);
        }
        self.last_id = last_id;
        if let Some(last) = self.last_id {
            let value = HeaderValue::try_from(last.to_string()).expect("a number is ASCII");
            self.last_event_id = Some(value);
        }
        Some(bytes)
    }
}

fn plain_helpers(helpers: &[Arc<TargetEntry>]) -> Vec<HelperRef> {
    let refs = helpers.iter().map(|h| HelperRef {
        addr: h.addr,
        reservation: None,
    });
    refs.collect()
}
