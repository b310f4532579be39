//! Signals of targets as this node knows them: which ones drain, and which ones limit their rate.

use std::collections::HashMap;
use std::time::Duration;

use azuresaddle_core::deployment::{RateLimit, TargetStart};
use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use crate::signals::{ObservedSignals, SignalUpdate};
use crate::snapshot::TargetSet;

/// Time after a limit was seen before a request without one can lift it: answers overtake each other on their way.
const REORDER_WINDOW: Duration = Duration::from_millis(50);

/// Time after which an unchanged limit is sent again: a node that was partitioned may have missed it.
const REGOSSIP_INTERVAL: Duration = Duration::from_secs(5);

/// Time for which the signals of a target without an entry are remembered: its entry may only have lapsed.
const SIGNAL_RETENTION: Duration = Duration::from_secs(600);

/// What has changed for a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum SignalChange {
    /// It is draining.
    Draining,
    /// It has a limit, or a different one than before.
    Limited(RateLimit),
    /// It has no limit any more.
    Unlimited,
}

/// Signals of one start of a target.
#[derive(Clone, Copy, Debug)]
struct SignalRecord {
    started: TargetStart,
    is_draining: bool,
    rate_limit: Option<RateLimit>,
    /// When the limit, or its end, was announced last.
    limit_seen_at: Option<Instant>,
    /// When it was last sent to other nodes.
    gossiped_at: Option<Instant>,
    /// When anything was learned last.
    seen_at: Instant,
}

/// Signals by target.
#[derive(Debug, Default)]
pub(super) struct SignalRecords {
    records: HashMap<HostName, SignalRecord>,
}

impl SignalRecords {
    /// Takes the signals of an answer and returns what has changed.
    pub(super) fn on_observed(&mut self, observed: &ObservedSignals) -> Vec<SignalChange> {
        let mut changes = Vec::new();
        let Some(record) = self.record(observed.seen_at, &observed.target, observed.started) else {
            return changes;
        };
        if observed.signals.is_draining {
            changes.extend(record.drain());
        }
        match observed.signals.rate_limit {
            Some(limit) => changes.extend(record.set_limit(observed.seen_at, Some(limit))),
            None if record.lifts_limit(observed) => {
                changes.extend(record.set_limit(observed.seen_at, None));
            }
            None => {}
        }
        changes
    }

    /// Takes an update from another node and returns what has changed.
    pub(super) fn on_gossip(&mut self, now: Instant, update: &SignalUpdate) -> Vec<SignalChange> {
        let mut changes = Vec::new();
        let Some(record) = self.record(now, &update.target, update.started) else {
            return changes;
        };
        if update.is_draining {
            changes.extend(record.drain());
        }
        if let Some(age) = update.limit_age {
            let seen_at = now.checked_sub(age).unwrap_or(now);
            changes.extend(record.set_limit(seen_at, update.rate_limit));
        }
        changes
    }

    /// Whether other nodes should get an update on a target: something has changed, or the last one was long ago.
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

    /// What is known of a target now, for other nodes.
    pub(super) fn update_for(&self, now: Instant, target: &HostName) -> Option<SignalUpdate> {
        let record = self.records.get(target)?;
        Some(record.update(now, target))
    }

    /// All records, for a node that has just started.
    pub(super) fn all(&self, now: Instant) -> Vec<SignalUpdate> {
        let all = self.records.iter();
        all.map(|(id, r)| r.update(now, id)).collect()
    }

    /// Limits in force of those targets.
    pub(super) fn rate_limits(&self, targets: &TargetSet) -> HashMap<HostName, RateLimit> {
        let limited = self.records.iter().filter_map(|(id, record)| {
            let limit = record.rate_limit?;
            let is_same_start = targets.get(id)?.started == record.started;
            is_same_start.then(|| (id.clone(), limit))
        });
        limited.collect()
    }

    /// Whether there is a record of a target.
    pub(super) fn knows(&self, target: &HostName) -> bool {
        self.records.contains_key(target)
    }

    /// Forgets targets that have been gone for long.
    pub(super) fn forget_old(&mut self, now: Instant, is_known: impl Fn(&HostName) -> bool) {
        let is_recent =
            |r: &SignalRecord| now.saturating_duration_since(r.seen_at) < SIGNAL_RETENTION;
        self.records.retain(|id, r| is_recent(r) || is_known(id));
    }

    /// The record of a start; `None` where a later start is known.
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
        record.seen_at = record.seen_at.max(now);
        (record.started == started).then_some(record)
    }
}

impl SignalRecord {
    fn new(now: Instant, started: TargetStart) -> Self {
        Self {
            started,
            is_draining: false,
            rate_limit: None,
            limit_seen_at: None,
            gossiped_at: None,
            seen_at: now,
        }
    }

    fn drain(&mut self) -> Option<SignalChange> {
        let was_draining = std::mem::replace(&mut self.is_draining, true);
        (!was_draining).then_some(SignalChange::Draining)
    }

    /// Takes a limit, or its end, unless a later announcement is known.
    fn set_limit(&mut self, seen_at: Instant, limit: Option<RateLimit>) -> Option<SignalChange> {
        if self.limit_seen_at.is_some_and(|at| seen_at < at) {
            return None;
        }
        self.limit_seen_at = Some(seen_at);
        let before = std::mem::replace(&mut self.rate_limit, limit);
        let change = limit.map_or(SignalChange::Unlimited, SignalChange::Limited);
        (before != limit).then_some(change)
    }

    /// Whether an answer without a limit lifts the known one: its request was sent after that was announced.
    fn lifts_limit(&self, observed: &ObservedSignals) -> bool {
        let named_at = self.limit_seen_at.filter(|_| self.rate_limit.is_some());
        observed.is_served && named_at.is_some_and(|at| observed.sent_at >= at + REORDER_WINDOW)
    }

    fn update(&self, now: Instant, target: &HostName) -> SignalUpdate {
        SignalUpdate {
            target: target.clone(),
            started: self.started,
            is_draining: self.is_draining,
            rate_limit: self.rate_limit,
            limit_age: self
                .limit_seen_at
                .map(|at| now.saturating_duration_since(at)),
        }
    }
}
