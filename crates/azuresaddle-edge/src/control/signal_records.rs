//! Signals of targets that this node knows: which targets are draining, and which limit their
//! request rate.

use std::collections::HashMap;
use std::time::Duration;

use azuresaddle_core::deployment::{RateLimit, TargetStart};
use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use crate::signals::{ObservedSignals, SignalUpdate};
use crate::snapshot::TargetSet;

/// Time after a limit was seen before an answer without one can lift it: answers may arrive out of
/// order.
const REORDER_WINDOW: Duration = Duration::from_millis(50);

/// Interval after which an unchanged signal is gossiped again: a node that was partitioned may have
/// missed it.
const REGOSSIP_INTERVAL: Duration = Duration::from_secs(5);

/// Time for which the signals of a target without an entry are kept: the entry may only have
/// lapsed.
const SIGNAL_RETENTION: Duration = Duration::from_secs(600);

/// A change in the signals of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum SignalChange {
    /// The target is draining.
    Draining,
    /// The target has a new or a different rate limit.
    Limited(RateLimit),
    /// The target has lifted its rate limit.
    Unlimited,
}

/// Signals of one start of a target.
#[derive(Clone, Copy, Debug)]
struct SignalRecord {
    started: TargetStart,
    is_draining: bool,
    rate_limit: Option<RateLimit>,
    /// When the limit, or the end of it, was last announced.
    limit_announced_at: Option<Instant>,
    /// When these signals were last gossiped.
    gossiped_at: Option<Instant>,
    /// When these signals were last updated.
    updated_at: Instant,
}

/// Signals by target.
#[derive(Debug, Default)]
pub(super) struct SignalRecords {
    records: HashMap<HostName, SignalRecord>,
}

impl SignalRecords {
    /// Records the signals of an answer and returns the changes.
    pub(super) fn on_observed(&mut self, observed: &ObservedSignals) -> Vec<SignalChange> {
        let mut changes = Vec::new();
        let Some(record) = self.record(observed.received_at, &observed.target, observed.started)
        else {
            return changes;
        };
        if observed.signals.is_draining {
            changes.extend(record.drain());
        }
        match observed.signals.rate_limit {
            Some(limit) => changes.extend(record.set_limit(observed.received_at, Some(limit))),
            None if record.lifts_limit(observed) => {
                changes.extend(record.set_limit(observed.received_at, None));
            }
            None => {}
        }
        changes
    }

    /// Records an update from another node and returns the changes.
    pub(super) fn on_gossip(&mut self, now: Instant, update: &SignalUpdate) -> Vec<SignalChange> {
        let mut changes = Vec::new();
        let Some(record) = self.record(now, &update.target, update.started) else {
            return changes;
        };
        if update.is_draining {
            changes.extend(record.drain());
        }
        if let Some(age) = update.limit_age {
            let announced_at = now.checked_sub(age).unwrap_or(now);
            changes.extend(record.set_limit(announced_at, update.rate_limit));
        }
        changes
    }

    /// Returns whether to gossip a target's signals: they have changed, or were last sent long ago.
    /// Marks them as sent if so.
    pub(super) fn should_gossip(
        &mut self,
        now: Instant,
        target: &HostName,
        has_changed: bool,
    ) -> bool {
        let Some(record) = self.records.get_mut(target) else {
            return false;
        };
        let is_due = record
            .gossiped_at
            .is_none_or(|at| now.saturating_duration_since(at) >= REGOSSIP_INTERVAL);
        let should_gossip = has_changed || is_due;
        if should_gossip {
            record.gossiped_at = Some(now);
        }
        should_gossip
    }

    /// Returns a target's signals as an update for other nodes.
    pub(super) fn update_for(&self, now: Instant, target: &HostName) -> Option<SignalUpdate> {
        let record = self.records.get(target)?;
        Some(record.update(now, target))
    }

    /// Returns updates for all targets, for a node that has just started.
    pub(super) fn all(&self, now: Instant) -> Vec<SignalUpdate> {
        let all = self.records.iter();
        all.map(|(id, r)| r.update(now, id)).collect()
    }

    /// Current rate limits of the given targets.
    pub(super) fn rate_limits(&self, targets: &TargetSet) -> HashMap<HostName, RateLimit> {
        let limited = self.records.iter().filter_map(|(id, record)| {
            let limit = record.rate_limit?;
            let is_same_start = targets.get(id)?.started == record.started;
            is_same_start.then(|| (id.clone(), limit))
        });
        limited.collect()
    }

    /// Returns whether there is a record of the target.
    pub(super) fn knows(&self, target: &HostName) -> bool {
        self.records.contains_key(target)
    }

    /// Removes records that are older than `SIGNAL_RETENTION` and not known to `is_known`.
    pub(super) fn remove_expired(&mut self, now: Instant, is_known: impl Fn(&HostName) -> bool) {
        let is_recent =
            |r: &SignalRecord| now.saturating_duration_since(r.updated_at) < SIGNAL_RETENTION;
        self.records.retain(|id, r| is_recent(r) || is_known(id));
    }

    /// Returns the record of a start; `None` if a later start is known.
    fn record(
        &mut self,
        now: Instant,
        target: &HostName,
        started: TargetStart,
    ) -> Option<&mut SignalRecord> {
        let record = self
            .records
            .entry(target.clone())
            .or_insert(SignalRecord::new(now, started));
        if record.started < started {
            *record = SignalRecord::new(now, started);
        }
        record.updated_at = record.updated_at.max(now);
        (record.started == started).then_some(record)
    }
}

impl SignalRecord {
    fn new(now: Instant, started: TargetStart) -> Self {
        Self {
            started,
            is_draining: false,
            rate_limit: None,
            limit_announced_at: None,
            gossiped_at: None,
            updated_at: now,
        }
    }

    fn drain(&mut self) -> Option<SignalChange> {
        let was_draining = std::mem::replace(&mut self.is_draining, true);
        (!was_draining).then_some(SignalChange::Draining)
    }

    /// Records a limit, or the end of it, unless a later announcement is known.
    fn set_limit(
        &mut self,
        announced_at: Instant,
        limit: Option<RateLimit>,
    ) -> Option<SignalChange> {
        if self.limit_announced_at.is_some_and(|at| announced_at < at) {
            return None;
        }
        self.limit_announced_at = Some(announced_at);
        let before = std::mem::replace(&mut self.rate_limit, limit);
        let change = limit.map_or(SignalChange::Unlimited, SignalChange::Limited);
        (before != limit).then_some(change)
    }

    /// Returns whether an answer without a limit lifts the known one: its request was sent after
    /// the limit was announced.
    fn lifts_limit(&self, observed: &ObservedSignals) -> bool {
        let announced_at = self
            .limit_announced_at
            .filter(|_| self.rate_limit.is_some());
        observed.is_served && announced_at.is_some_and(|at| observed.sent_at >= at + REORDER_WINDOW)
    }

    fn update(&self, now: Instant, target: &HostName) -> SignalUpdate {
        SignalUpdate {
            target: target.clone(),
            started: self.started,
            is_draining: self.is_draining,
            rate_limit: self.rate_limit,
            limit_age: self
                .limit_announced_at
                .map(|at| now.saturating_duration_since(at)),
        }
    }
}
