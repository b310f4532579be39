//! Events of waiting and running attempts.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::Pool;
use crate::outcome::Outcome;
use crate::reservation::LiveStream;
use crate::target::TargetKey;

/// Time without new reservations after a target refused a request that should have fitted.
const REFUSAL_AVOIDANCE_TIME: Duration = Duration::from_millis(500);

impl Pool {
    /// Records the first token of an attempt and frees its prefill slots.
    pub fn on_first_token(&mut self, now: Instant, stream: StreamId) {
        let Some(key) = self.by_stream.get(&stream).copied() else {
            return;
        };
        let rest = self.answers.mean_time();
        let reservation = &mut self.reservations[key];
        if reservation.first_token_at.is_some() {
            return;
        }
        reservation.first_token_at = Some(now);
        reservation.ends_at = now + rest;
        let sent_at = reservation.sent_at;
        let tokens = reservation.prefill_tokens;
        for target_key in reservation.targets.clone() {
            let target = &mut self.targets[target_key];
            let began = sent_at.max(target.last_prefill_ended_at);
            target
                .rate
                .observe(tokens, now.saturating_duration_since(began));
            target.last_prefill_ended_at = now;
            target.prefilling.retain(|r| *r != key);
            if target.prefilling.is_empty() {
                target.prefill_ends_at = now;
            }
            target.breaker.on_success();
        }
    }

    /// Ends a waiting or running attempt; unknown attempts are ignored.
    pub fn on_end(&mut self, now: Instant, stream: StreamId, outcome: Outcome) {
        if let Some(key) = self.queue.find(stream) {
            self.withdraw(key);
        }
        if let Some(key) = self.by_stream.get(&stream).copied() {
            self.end_reservation(now, key, outcome);
        }
    }

    /// Records the failure of an attempt whose end its targets have not confirmed.
    ///
    /// The targets may still hold its memory, so the reservation stays until [`Self::on_end`] or a
    /// new incarnation of the target.
    pub fn on_unconfirmed_failure(&mut self, now: Instant, stream: StreamId) {
        let Some(key) = self.by_stream.get(&stream) else {
            return;
        };
        for target in self.reservations[*key].targets.clone() {
            self.targets[target].breaker.on_failure(now);
        }
    }

    /// Records that another node now relays the answer of an attempt.
    pub fn on_taken_over(&mut self, stream: StreamId, node: HostName) {
        if let Some(key) = self.by_stream.get(&stream) {
            self.reservations[*key].node = node;
        }
    }

    /// Targets that hold memory for an attempt; empty if it is waiting or unknown.
    pub fn targets_of(&self, stream: StreamId) -> Vec<HostName> {
        self.by_stream
            .get(&stream)
            .map(|key| self.names_of(&self.reservations[*key].targets))
            .unwrap_or_default()
    }

    /// Attempts that have been in the ledger of a target for longer than `age` but are not in
    /// `listed`.
    pub fn missing_on(
        &self,
        now: Instant,
        target: &HostName,
        listed: &[LiveStream],
        age: Duration,
    ) -> Vec<StreamId> {
        let Some(key) = self.target_names.get(target) else {
            return Vec::new();
        };
        self.reservations
            .values()
            .filter(|r| r.targets.contains(key) && now.saturating_duration_since(r.sent_at) > age)
            .map(|r| r.stream)
            .filter(|stream| listed.iter().all(|live| live.stream != *stream))
            .collect()
    }

    pub(super) fn record_outcome(&mut self, now: Instant, key: TargetKey, outcome: Outcome) {
        let target = &mut self.targets[key];
        match outcome {
            Outcome::Done { .. } => target.breaker.on_success(),
            Outcome::Cancelled => {}
            Outcome::TargetRefused => target.avoided_until = now + REFUSAL_AVOIDANCE_TIME,
            Outcome::TargetFailed => target.breaker.on_failure(now),
        }
    }

    fn names_of(&self, keys: &[TargetKey]) -> Vec<HostName> {
        keys.iter()
            .map(|key| self.targets[*key].spec.name.clone())
            .collect()
    }
}
