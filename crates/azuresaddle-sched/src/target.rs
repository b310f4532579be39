//! State of a target in a pool.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use slotmap::new_key_type;
use tokio::time::Instant;

use crate::breaker::Breaker;
use crate::drain::DrainKey;
use crate::prefix_index::PrefixIndex;
use crate::rate::PrefillRate;
use crate::reservation::ReservationKey;

new_key_type! {
    /// Key of a target in its pool.
    pub(crate) struct TargetKey;
}

/// Configuration of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetSpec {
    /// Name of the target's host.
    pub name: HostName,
    /// Memory, in tokens.
    pub memory_tokens: u64,
}

/// State of a target.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) spec: TargetSpec,
    /// Memory reserved by the ledger, in tokens.
    pub(crate) reserved: u64,
    /// Reservations without a first token yet, in the order they were sent.
    pub(crate) prefilling: Vec<ReservationKey>,
    /// All reservations.
    pub(crate) reservations: Vec<ReservationKey>,
    /// When the prefills sent so far are expected to end.
    pub(crate) prefill_ends_at: Instant,
    /// When a stream on the target last sent its first token.
    pub(crate) last_prefill_ended_at: Instant,
    pub(crate) rate: PrefillRate,
    pub(crate) breaker: Breaker,
    /// Whether the target is leaving and gets no new reservations.
    pub(crate) leaving: bool,
    /// No new reservations before this time, since the target refused one that should have fitted.
    pub(crate) avoided_until: Instant,
    /// When the target is next tried if it is much slower than the others.
    pub(crate) probe_at: Instant,
    pub(crate) drain: Option<DrainKey>,
    pub(crate) incarnation: Incarnation,
    pub(crate) prefixes: PrefixIndex,
}

impl Target {
    pub(crate) fn new(now: Instant, spec: TargetSpec, rate: f64) -> Self {
        Self {
            spec,
            reserved: 0,
            prefilling: Vec::new(),
            reservations: Vec::new(),
            prefill_ends_at: now,
            last_prefill_ended_at: now,
            rate: PrefillRate::new(rate),
            breaker: Breaker::default(),
            leaving: false,
            avoided_until: now,
            probe_at: now,
            drain: None,
            incarnation: Incarnation::default(),
            prefixes: PrefixIndex::default(),
        }
    }

    /// Unreserved memory, in tokens.
    pub(crate) fn free(&self) -> u64 {
        self.spec.memory_tokens.saturating_sub(self.reserved)
    }

    /// Whether the target may get new reservations at all, apart from memory and prefill slots.
    pub(crate) fn accepts_work(&self, now: Instant) -> bool {
        !self.leaving
            && now >= self.avoided_until
            && self.breaker.allows(now, self.reservations.len())
    }

    /// Whether another prefill may be sent: none is running, or the only one is expected to end
    /// within `prefill_lead_time`.
    pub(crate) fn has_prefill_slot(&self, now: Instant, prefill_lead_time: Duration) -> bool {
        match self.prefilling.len() {
            0 => true,
            1 => {
                !prefill_lead_time.is_zero()
                    && now + prefill_lead_time >= self.prefill_ends_at
                    && now <= self.prefill_ends_at
            }
            _ => false,
        }
    }
}
