//! Which of the requests that a crashed target was running explains its crash best.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::crash::TargetIncarnation;
use super::evidence::Evidence;
use super::record::{QuarantineKind, Record};
use super::state::{CrashedTarget, Quarantine};

/// Net crashes of other targets from which on a request explains a crash better than one that
/// shares only this target with it: one may be chance, and a third would quarantine it.
const INCRIMINATING_CRASHES: usize = 2;

/// Age up to which crashes count towards how often targets crash on their own.
const RECENT_CRASH_AGE: Duration = Duration::from_secs(60);

impl Quarantine {
    /// Evidence on a request, without the crashes that another request on the same target explains better.
    pub(super) fn unexplained_evidence(
        &self,
        fingerprint: Fingerprint,
        record: &Record,
    ) -> Evidence {
        let own = record.evidence().weight();
        let is_unexplained = |incarnation: &TargetIncarnation| {
            let requests = self
                .crashed_targets
                .get(incarnation)
                .into_iter()
                .flat_map(|e| &e.requests);
            let mut others = requests.filter(|r| **r != fingerprint);
            !others.any(|other| {
                self.weight(*other) > own || self.is_better_explanation(*other, fingerprint)
            })
        };
        record.evidence_with(record.crashed_incarnations().filter(is_unexplained).count())
    }

    /// Whether `cause` explains a crash better than `fingerprint`, which was on the same target: apart
    /// from each other, only `cause` has crashed targets.
    ///
    /// When different requests crash most of the targets at once, a harmless one that all callers
    /// send was on each of them and has more crashes than any of the causes.
    fn is_better_explanation(&self, cause: Fingerprint, fingerprint: Fingerprint) -> bool {
        self.is_incriminated_without(cause, fingerprint)
            && !self.is_incriminated_without(fingerprint, cause)
    }

    /// Whether a request has crashed targets that were running neither `absent` nor another request
    /// with as many crashes.
    fn is_incriminated_without(&self, fingerprint: Fingerprint, absent: Fingerprint) -> bool {
        let Some(record) = self.records.get(&fingerprint) else {
            return false;
        };
        if record.evidence().crashes < INCRIMINATING_CRASHES {
            return false;
        }
        let has_other_cause = |request: &Fingerprint| {
            *request == absent
                || (*request != fingerprint
                    && self.weight(*request) >= INCRIMINATING_CRASHES as f64)
        };
        let is_only_cause = |incarnation: &TargetIncarnation| {
            let crashed = self.crashed_targets.get(incarnation);
            crashed.is_some_and(|c| !c.requests.iter().any(has_other_cause))
        };
        let crashes = record.crashed_incarnations().filter(is_only_cause);
        record.evidence_with(crashes.count()).weight() >= INCRIMINATING_CRASHES as f64
    }

    /// The kind of quarantine that the evidence calls for: a short one if the request may be harmless.
    ///
    /// A request that all callers send may have been on every target that a cause crashed. It shares
    /// each of its crashes then, and only a run apart from the others tells which of them is the cause.
    pub(super) fn quarantine_kind(
        &self,
        fingerprint: Fingerprint,
        record: &Record,
    ) -> QuarantineKind {
        let is_other_suspect = |request: &Fingerprint| {
            *request != fingerprint && self.weight(*request) >= INCRIMINATING_CRASHES as f64
        };
        let is_shared = |incarnation| {
            let crashed = self.crashed_targets.get(&incarnation);
            crashed.is_some_and(|c| c.requests.iter().any(is_other_suspect))
        };
        let evidence = record.evidence();
        if fingerprint.is_prompt_part() {
            // The requests with the part are on all its targets; only its own successful runs speak for it.
            return QuarantineKind::of(evidence);
        }
        if !evidence.reaches_crash_limit() && record.crashed_incarnations().all(is_shared) {
            return QuarantineKind::Short;
        }
        QuarantineKind::of(evidence)
    }

    pub(super) fn weight(&self, fingerprint: Fingerprint) -> f64 {
        let record = self.records.get(&fingerprint);
        record.map_or(0.0, |r| r.evidence().weight())
    }

    /// Number of targets that crashed recently without the request and without any request whose net evidence exceeds
    /// one crash.
    ///
    /// For a part of prompts only those count that crashed before the part had enough crashes itself. Later ones would
    /// lift a quarantine again while requests with the part still come.
    pub(super) fn unexplained_crashes(&self, now: Instant, fingerprint: Fingerprint) -> usize {
        let record = self.records.get(&fingerprint);
        let record = record.filter(|_| fingerprint.is_prompt_part());
        let counted_until = record.and_then(Record::sufficient_crash_at);
        let is_unexplained = |crashed: &&CrashedTarget| {
            now.saturating_duration_since(crashed.at) < RECENT_CRASH_AGE
                && counted_until.is_none_or(|until| crashed.at <= until)
                && !crashed.requests.contains(&fingerprint)
                && !crashed.requests.iter().any(|r| self.weight(*r) > 1.0)
        };
        self.crashed_targets.values().filter(is_unexplained).count()
    }

    /// Whether another request was on all crashed targets of this one and has at least as much evidence against it, so
    /// that either may be the cause.
    ///
    /// The streams of a crashed engine resume on the next one together, and their callers retry together. The next
    /// crash distinguishes them, because suspects don't share an engine by then: the cause has one more crash, which
    /// explains those of the others.
    ///
    /// A part of a prompt that only one request had on these targets is no better explanation than that request.
    pub(super) fn has_equal_suspect(&self, fingerprint: Fingerprint, record: &Record) -> bool {
        let last = record.crashed_incarnations().last();
        let requests = last.and_then(|incarnation| self.crashed_targets.get(&incarnation));
        let requests = requests.into_iter().flat_map(|e| &e.requests);
        let own = record.evidence().weight();
        let others = requests.filter(|r| **r != fingerprint && !r.is_prompt_part());
        others.into_iter().any(|other| {
            let other = self.records.get(other);
            other.is_some_and(|other| {
                other.includes_crashes_of(record) && other.evidence().weight() >= own
            })
        })
    }

    /// Other parts of prompts that were on exactly the same crashed targets, so that either of them, or only both
    /// together, may be the cause.
    pub(super) fn inseparable_parts(&self, part: Fingerprint) -> Vec<Fingerprint> {
        let Some(record) = self.records.get(&part) else {
            return Vec::new();
        };
        let last = record.crashed_incarnations().last();
        let crashed = last.and_then(|incarnation| self.crashed_targets.get(&incarnation));
        let others = crashed.into_iter().flat_map(|c| &c.requests);
        let others = others.filter(|o| **o != part && o.is_prompt_part());
        let is_inseparable = |other: &&Fingerprint| {
            self.records.get(other).is_some_and(|other| {
                other.includes_crashes_of(record)
                    && record.includes_crashes_of(other)
                    && other.evidence().weight() >= record.evidence().weight()
            })
        };
        others.filter(is_inseparable).copied().collect()
    }
}
