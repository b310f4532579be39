//! Addition, update and removal of targets.

use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::Pool;
use crate::outcome::Outcome;
use crate::prefix_index::CacheEvent;
use crate::target::{Target, TargetKey, TargetSpec};

impl Pool {
    /// Adds a target or updates its configuration.
    pub fn upsert_target(&mut self, now: Instant, spec: TargetSpec) {
        if let Some(key) = self.target_names.get(&spec.name) {
            self.targets[*key].spec = spec;
            return;
        }
        let name = spec.name.clone();
        let rate = self.reference_rate();
        let key = self.targets.insert(Target::new(now, spec, rate));
        self.target_names.insert(name, key);
    }

    /// Removes a target and its part of all reservations; a reservation with no other target ends.
    pub fn remove_target(&mut self, now: Instant, name: &HostName) {
        let Some(key) = self.target_names.remove(name) else {
            return;
        };
        self.drop_reservations_on(now, key);
        self.cancel_drains_on(key);
        self.targets.remove(key);
    }

    /// Names of all targets.
    pub fn target_names(&self) -> impl Iterator<Item = &HostName> {
        self.target_names.keys()
    }

    /// Memory reserved on a target, in tokens; `None` for an unknown target.
    pub fn reserved_tokens(&self, name: &HostName) -> Option<u64> {
        let key = self.target_names.get(name)?;
        Some(self.targets[*key].reserved)
    }

    /// Stops or resumes new reservations on a target; running requests continue.
    pub fn set_leaving(&mut self, name: &HostName, leaving: bool) {
        let Some(key) = self.target_names.get(name).copied() else {
            return;
        };
        if self.targets[key].leaving != leaving {
            self.targets[key].leaving = leaving;
            self.cancel_drains_on(key);
        }
    }

    /// Records the incarnation of a target.
    ///
    /// A restarted target has lost all streams and its prefix cache, so its reservations are
    /// released.
    pub fn on_incarnation(&mut self, now: Instant, name: &HostName, incarnation: Incarnation) {
        let Some(key) = self.target_names.get(name).copied() else {
            return;
        };
        let known = self.targets[key].incarnation;
        if incarnation <= known {
            return;
        }
        self.targets[key].incarnation = incarnation;
        if known != Incarnation::default() {
            self.drop_reservations_on(now, key);
            self.targets[key].prefixes = Default::default();
        }
    }

    /// Records that a target does not answer.
    pub fn on_target_unreachable(&mut self, now: Instant, name: &HostName) {
        if let Some(key) = self.target_names.get(name) {
            self.targets[*key].breaker.on_failure(now);
        }
    }

    /// Applies an event of a target's prefix cache; true if a full listing is needed.
    pub fn on_cache_event(&mut self, name: &HostName, event: CacheEvent) -> bool {
        let Some(key) = self.target_names.get(name) else {
            return false;
        };
        let index = &mut self.targets[*key].prefixes;
        index.apply(event);
        index.is_stale()
    }

    /// Replaces the index of a target's prefix cache by a full listing, valid up to `sequence`.
    pub fn on_cache_listing(
        &mut self,
        name: &HostName,
        sequence: u64,
        blocks: impl IntoIterator<Item = u64>,
    ) {
        if let Some(key) = self.target_names.get(name) {
            self.targets[*key].prefixes.replace(sequence, blocks);
        }
    }

    fn drop_reservations_on(&mut self, now: Instant, key: TargetKey) {
        let affected = self.targets[key].reservations.clone();
        for reservation in affected {
            self.release_on(now, reservation, key);
            if self.reservations[reservation].targets.is_empty() {
                self.end_reservation(now, reservation, Outcome::TargetFailed);
            }
        }
    }

    /// Highest learned prefill rate of all targets, in tokens per second; the configured initial
    /// rate in an empty pool.
    pub(super) fn reference_rate(&self) -> f64 {
        self.targets
            .values()
            .map(|t| t.rate.tokens_per_second())
            .max_by(f64::total_cmp)
            .unwrap_or(self.options.initial_prefill_rate)
    }
}
