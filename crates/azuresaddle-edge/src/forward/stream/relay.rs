//! Relays the events of a target to the caller.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use hyper::header::HeaderValue;
use tokio::time::Instant;

use super::open::{Loss, OpenAnswer};
use super::placement::Placement;
use super::silence_timer::SilenceTimer;
use super::takeover::AnswerEnd;
use super::target_events::{EventBatch, TargetEvents};
use super::{AnswerStart, Relay};
use crate::forward::event_buffer::{CallerGone, PART_COST_BYTES};

/// Silence after which other targets are asked, in multiples of the pause target. Callers wait for 8; an engine pass that
/// placement allows takes up to 3.5.
const SILENCE_PAUSES: u32 = 6;

/// Shortest silence after which other targets are asked.
const MIN_SILENCE: Duration = Duration::from_millis(700);

impl<N: Network> Relay<N> {
    /// Sends the request to the targets of a placement, unless they have already begun to answer, and relays the answer.
    ///
    /// # Errors
    /// If these targets don't complete the answer.
    pub(super) async fn send(
        &mut self,
        placement: &Placement<N>,
        open: Option<OpenAnswer>,
    ) -> Result<(), AnswerEnd<N>> {
        self.answered_at = None;
        let target = &placement.target.id;
        let open = match open {
            Some(open) => open,
            None => {
                let silence = SilenceTimer::default();
                let open = self.open(placement, &silence);
                self.await_events(placement, &silence, open).await?
            }
        };
        self.sends.cancel_others(target);
        let OpenAnswer {
            start,
            first,
            mut rest,
        } = open;
        let mut start = Some(start);
        let mut next = first;
        while let Some(batch) = next {
            self.forward(placement, batch, &mut start)?;
            let silence = SilenceTimer::default();
            let events = self.next_events(&mut rest, &silence);
            next = self.await_events(placement, &silence, events).await?;
            self.sends.cancel_others(target);
        }
        rest.finish()?;
        self.progress.complete();
        self.send_start(&mut start)?;
        Ok(self.events.end()?)
    }

    /// Waits for the next events; `None` at the end of the answer. Time in which the node does not read from the target does not
    /// count as silence.
    async fn next_events(
        &self,
        events: &mut TargetEvents,
        silence: &SilenceTimer,
    ) -> Result<Option<EventBatch>, Loss> {
        let max_silence = self.max_silence();
        let mut silent_at = Instant::now() + max_silence;
        loop {
            if self.events.room().await? {
                silent_at = Instant::now() + max_silence;
            }
            silence.start(silent_at);
            let chunk = events.chunk().await?;
            silence.stop();
            let Some(chunk) = chunk else {
                return Ok(None);
            };
            let bytes = (chunk.len() + PART_COST_BYTES) as u64;
            if !events.held.try_grow(bytes) {
                let room = self.hold(&mut events.held, bytes);
                self.events.paused(room).await??;
                silent_at = Instant::now() + max_silence;
            }
            if let Some(batch) = events.push(&chunk)? {
                return Ok(Some(batch));
            }
        }
    }

    /// Silence after which other targets are asked once a target has sent events.
    pub(super) fn max_silence(&self) -> Duration {
        (self.pause_target() * SILENCE_PAUSES).max(MIN_SILENCE)
    }

    /// Forwards events, and the start of the answer before the first ones.
    fn forward(
        &mut self,
        placement: &Placement<N>,
        batch: EventBatch,
        start: &mut Option<AnswerStart>,
    ) -> Result<(), AnswerEnd<N>> {
        let now = Instant::now();
        self.progress.on_event(now);
        if let Some(last) = self.last_event_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now - last);
        }
        if self.answered_at.is_none() {
            self.answered_at = Some(now);
            self.record_first_event();
            placement.on_first_event();
        }
        self.last_relayed_id = self.check_order(&batch.ids)?;
        if let Some(last) = self.last_relayed_id {
            let value = HeaderValue::try_from(last.to_string()).expect("a number is ASCII");
            self.last_event_id = Some(value);
        }
        self.send_start(start)?;
        Ok(self.events.push(batch.bytes)?)
    }

    fn record_first_event(&mut self) {
        if self.first_event_ms.is_some() {
            return;
        }
        let took = self.req.arrived.elapsed();
        self.first_event_ms = Some(took.as_millis() as u64);
        self.cx.metrics.on_first_event(&self.req.service, took);
    }

    /// Sends the start of the answer, unless it was sent before.
    fn send_start(&mut self, start: &mut Option<AnswerStart>) -> Result<(), CallerGone> {
        match (self.start_tx.take(), start.take()) {
            (Some(tx), Some(start)) => tx.send(start).map_err(|_| CallerGone),
            _ => Ok(()),
        }
    }
}
