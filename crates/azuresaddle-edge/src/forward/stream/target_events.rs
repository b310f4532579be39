//! The events that a target sends.

use azuresaddle_core::byte_budget::{HeldBytes, Permit};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::forward::attempt::{KeepAlive, SendFailure};
use crate::forward::event_splitter::EventSplitter;
use crate::forward::reservations::Reservations;
use crate::targets::Connection;

/// The rest of a target's answer. Dropping it closes the connection, so that the target stops working on the request.
pub(super) struct TargetEvents {
    pub(super) body: Incoming,
    pub(super) connection: Connection,
    /// How long the target keeps the connection open; `None` if it closes it.
    pub(super) keep_alive: Option<KeepAlive>,
    /// Memory on other engines that the answer uses.
    pub(super) _reserved: Option<Reservations>,
    pub(super) splitter: EventSplitter,
    /// Covers the bytes that belong to no complete event.
    pub(super) held: Permit,
}

/// Complete events that were received together.
pub(super) struct EventBatch {
    pub(super) bytes: HeldBytes,
    pub(super) ids: Vec<u64>,
}

impl TargetEvents {
    /// Waits for bytes; `None` at the end of the answer.
    pub(super) async fn chunk(&mut self) -> Result<Option<Bytes>, SendFailure> {
        loop {
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(e)) => return Err(SendFailure::Broken(e.to_string())),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Adds bytes that `held` covers, and returns the events that are complete now, if any.
    pub(super) fn push(&mut self, chunk: &Bytes) -> Result<Option<EventBatch>, SendFailure> {
        let Some(events) = self.splitter.push(chunk) else {
            return Err(SendFailure::Broken("event is too long".to_owned()));
        };
        if events.lengths.is_empty() {
            return Ok(None);
        }
        let partial = self.splitter.partial_bytes() as u64;
        let permit = self.held.split(self.held.bytes() - partial);
        Ok(Some(EventBatch {
            bytes: HeldBytes::new(events.bytes, permit),
            ids: events.ids,
        }))
    }

    /// Ends an answer that was read to its end.
    pub(super) fn finish(self) -> Result<(), SendFailure> {
        if self.splitter.has_partial_event() {
            return Err(SendFailure::Broken(
                "stream ended inside an event".to_owned(),
            ));
        }
        if let Some(kept) = self.keep_alive {
            self.connection.return_to_pool(kept.0);
        }
        Ok(())
    }
}
