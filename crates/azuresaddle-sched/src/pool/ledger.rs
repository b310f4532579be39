//! Ledger of the memory and prefill slots reserved on each target.

use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::Pool;
use crate::action::Grant;
use crate::class::Class;
use crate::outcome::Outcome;
use crate::queue::Waiting;
use crate::reservation::{LiveStream, Reservation, ReservationKey};
use crate::target::{Target, TargetKey};

/// Number of maximum-length short prompts that must fit in a target's free memory for it to count
/// as usable for the short class.
const MIN_SHORT_PROMPTS: u64 = 2;

impl Pool {
    /// Reserves memory and a prefill slot on all the given targets at once.
    pub(super) fn reserve(&mut self, now: Instant, waiting: Waiting, keys: &[TargetKey]) -> Grant {
        let request = waiting.request;
        let members = keys.len() as u64;
        let memory_tokens = request.memory_tokens().div_ceil(members);
        let uncached = self.uncached_tokens(keys[0], &request.prefix, request.prompt_tokens);
        let prefill_tokens = uncached / members as f64;
        let reservation = Reservation {
            stream: request.stream,
            node: request.node,
            account: request.account,
            class: waiting.class,
            targets: keys.to_vec(),
            memory_tokens,
            prefill_tokens,
            sent_at: now,
            first_token_at: None,
            ends_at: now,
        };
        let key = self.insert_reservation(reservation);
        let mut first_token = now;
        for target in keys.iter().map(|k| &self.targets[*k]) {
            let start = target.prefill_ends_at.max(now);
            first_token = first_token.max(start + target.rate.time_for(prefill_tokens));
        }
        self.reservations[key].ends_at = first_token + self.answers.mean_time();
        for target_key in keys {
            let target = &mut self.targets[*target_key];
            target.prefilling.push(key);
            target.prefill_ends_at = first_token;
        }
        Grant {
            stream: request.stream,
            targets: keys
                .iter()
                .map(|k| self.targets[*k].spec.name.clone())
                .collect(),
            memory_tokens,
        }
    }

    /// Adds a running stream reported by a target to the ledger, when a new owner takes over.
    ///
    /// Call it once per target for a stream that is split across several.
    pub fn adopt(&mut self, now: Instant, target: &HostName, live: &LiveStream) {
        let Some(target_key) = self.target_names.get(target).copied() else {
            return;
        };
        if let Some(key) = self.by_stream.get(&live.stream).copied() {
            let reservation = &mut self.reservations[key];
            if !reservation.targets.contains(&target_key) {
                reservation.targets.push(target_key);
                self.hold(target_key, key, live.memory_tokens);
            }
            return;
        }
        self.usage.adopt(now, &live.account);
        let key = self.insert_reservation(Reservation {
            stream: live.stream,
            node: live.node.clone(),
            account: live.account.clone(),
            class: self.class_of(live.memory_tokens as f64),
            targets: vec![target_key],
            memory_tokens: live.memory_tokens,
            prefill_tokens: 0.0,
            sent_at: now,
            first_token_at: live.decoding.then_some(now),
            ends_at: now + self.answers.mean_time(),
        });
        if !live.decoding {
            self.targets[target_key].prefilling.push(key);
        }
    }

    fn insert_reservation(&mut self, reservation: Reservation) -> ReservationKey {
        let stream = reservation.stream;
        let memory_tokens = reservation.memory_tokens;
        let targets = reservation.targets.clone();
        let key = self.reservations.insert(reservation);
        self.by_stream.insert(stream, key);
        for target in targets {
            self.hold(target, key, memory_tokens);
        }
        key
    }

    fn hold(&mut self, target_key: TargetKey, key: ReservationKey, memory_tokens: u64) {
        let target = &mut self.targets[target_key];
        target.reserved += memory_tokens;
        target.reservations.push(key);
    }

    /// Releases the memory and prefill slot that a reservation holds on one target.
    pub(super) fn release_on(&mut self, now: Instant, key: ReservationKey, target_key: TargetKey) {
        let reservation = &mut self.reservations[key];
        reservation.targets.retain(|t| *t != target_key);
        let target = &mut self.targets[target_key];
        target.reserved -= reservation.memory_tokens;
        target.reservations.retain(|r| *r != key);
        target.prefilling.retain(|r| *r != key);
        if target.prefilling.is_empty() {
            target.prefill_ends_at = now;
        }
    }

    /// Ends a reservation and releases it on all its targets.
    pub(super) fn end_reservation(&mut self, now: Instant, key: ReservationKey, outcome: Outcome) {
        for target in self.reservations[key].targets.clone() {
            self.release_on(now, key, target);
            self.record_outcome(now, target, outcome);
        }
        let reservation = self.reservations.remove(key).expect("the key is live");
        self.by_stream.remove(&reservation.stream);
        self.usage.release(&reservation.account);
        if let (Outcome::Done { tokens }, Some(at)) = (outcome, reservation.first_token_at) {
            self.answers
                .observe(tokens, now.saturating_duration_since(at));
        }
    }

    /// Number of targets that short prompts can't use because they run a long prefill, lack memory
    /// or are being drained.
    pub(super) fn targets_unavailable_to_short(&self) -> usize {
        let room = MIN_SHORT_PROMPTS * self.options.short_max_tokens;
        let is_unavailable = |t: &&Target| {
            let lacks_room = t.free() < room.min(t.spec.memory_tokens);
            lacks_room || t.drain.is_some() || self.runs_long_prefill(t)
        };
        self.targets.values().filter(is_unavailable).count()
    }

    /// Whether any target is running a long prefill.
    pub(super) fn any_long_prefill(&self) -> bool {
        self.targets.values().any(|t| self.runs_long_prefill(t))
    }

    fn runs_long_prefill(&self, target: &Target) -> bool {
        let mut prefilling = target.prefilling.iter();
        prefilling.any(|key| self.reservations[*key].class == Class::Long)
    }
}
