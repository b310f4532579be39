//! Which of the requests that a crashed target was running explains its crash best.

use std::collections::HashMap;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::crash::TargetIncarnation;
use super::evidence::{Evidence, SUFFICIENT_CRASHES};
use super::record::{QuarantineKind, Record};
use super::state::{CrashedTarget, Quarantine};

/// Net crashes of other targets from which on a request explains a crash better than one that
/// shares only this target with it: one may be chance, and a third would quarantine it.
const INCRIMINATING_CRASHES: usize = 2;

/// Age up to which crashes count towards how often targets crash on their own.
const RECENT_CRASH_AGE: Duration = Duration::from_secs(60);

/// Crashes that a request shares with a part of prompts.
#[derive(Clone, Copy, Debug, Default)]
struct SharedCrashes {
    all: usize,
    /// Those of targets that were running no other request.
    alone: usize,
}

impl Quarantine {
    /// Evidence on a request, without the crashes that another request on the same target explains better.
    pub(super) fn unexplained_evidence(
        &self,
        fingerprint: Fingerprint,
        record: &Record,
    ) -> Evidence {
        let own = record.evidence().weight();
        // A part in quarantine runs on no target, so crashes that others cause meanwhile can't be compared with its own.
        let until = fingerprint.is_prompt_part().then(|| record.last_crash_at());
        let is_unexplained = |incarnation: &TargetIncarnation| {
            let mut others = self.requests_on(incarnation).filter(|r| *r != fingerprint);
            !others.any(|other| {
                self.outweighs(other, fingerprint, own, until)
                    || self.is_better_explanation(other, fingerprint, until)
            })
        };
        let mut unexplained: Vec<TargetIncarnation> = record
            .crashed_incarnations()
            .filter(is_unexplained)
            .collect();
        if !fingerprint.is_prompt_part() {
            return record.evidence_with(unexplained.len());
        }
        let requests = self.requests_explaining_part(record, &mut unexplained);
        record.evidence_with(requests.len() + unexplained.len())
    }

    /// Whether the evidence against `cause`, with its crashes up to `until`, exceeds `weight`, the evidence against
    /// `fingerprint`.
    ///
    /// A part has at least as many crashes as each request that contains it. So it does not outweigh a request that explains
    /// the crashes of the part.
    fn outweighs(
        &self,
        cause: Fingerprint,
        fingerprint: Fingerprint,
        weight: f64,
        until: Option<Instant>,
    ) -> bool {
        let record = self.records.get(&cause);
        record.is_some_and(|r| {
            r.evidence_with(self.crashes_until(r, until).count())
                .weight()
                > weight
                && !(cause.is_prompt_part() && self.explains_part(fingerprint, r))
        })
    }

    /// Whether a request explains several crashes of a part.
    fn explains_part(&self, request: Fingerprint, part: &Record) -> bool {
        let mut crashes = part.crashed_incarnations().collect();
        self.requests_explaining_part(part, &mut crashes)
            .contains(&request)
    }

    /// Requests that each explain several of these crashes of a part. The explained crashes are removed from `crashes`.
    ///
    /// A request that may contain the part and has enough crashes for a quarantine of its own explains them as well as the
    /// part does. All crashes that one request explains count as one crash of the part: only other requests that contain the
    /// part can show that it is the cause.
    fn requests_explaining_part(
        &self,
        part: &Record,
        crashes: &mut Vec<TargetIncarnation>,
    ) -> Vec<Fingerprint> {
        let mut requests = Vec::new();
        while let Some(request) = self.best_request_for(part, crashes) {
            crashes.retain(|incarnation| !self.requests_on(incarnation).any(|r| r == request));
            requests.push(request);
        }
        requests
    }

    /// The request that explains most of these crashes of a part; `None` if no request explains more than one.
    fn best_request_for(
        &self,
        part: &Record,
        crashes: &[TargetIncarnation],
    ) -> Option<Fingerprint> {
        let mut shared: HashMap<Fingerprint, SharedCrashes> = HashMap::new();
        for incarnation in crashes {
            let requests = self.requests_on(incarnation);
            let requests: Vec<Fingerprint> = requests.filter(|r| !r.is_prompt_part()).collect();
            for request in &requests {
                let shared = shared.entry(*request).or_default();
                shared.all += 1;
                shared.alone += usize::from(requests.len() == 1);
            }
        }
        let explains = |request: &Fingerprint, shared: &SharedCrashes| {
            shared.all > 1
                && self.weight(*request) >= SUFFICIENT_CRASHES as f64
                && self.may_hold(*request, part)
        };
        let best = shared
            .into_iter()
            .filter(|(request, shared)| explains(request, shared))
            .max_by_key(|(request, shared)| (shared.all, shared.alone, *request));
        best.map(|(request, _)| request)
    }

    /// Whether a request may contain a part of prompts: it has crashed no target that was not running the part.
    fn may_hold(&self, request: Fingerprint, part: &Record) -> bool {
        let record = self.records.get(&request);
        record.is_some_and(|r| part.includes_crashes_of(r))
    }

    /// Requests and parts that a crashed target was running.
    fn requests_on(&self, incarnation: &TargetIncarnation) -> impl Iterator<Item = Fingerprint> {
        let crashed = self.crashed_targets.get(incarnation);
        crashed.into_iter().flat_map(|c| &c.requests).copied()
    }

    /// Targets in a record whose crashes this node learned of by `until`; all of them if it is `None`.
    fn crashes_until(
        &self,
        record: &Record,
        until: Option<Instant>,
    ) -> impl Iterator<Item = TargetIncarnation> {
        let is_counted = move |incarnation: &TargetIncarnation| {
            let crashed = self.crashed_targets.get(incarnation);
            until.is_none_or(|until| crashed.is_some_and(|c| c.at <= until))
        };
        record.crashed_incarnations().filter(is_counted)
    }

    /// Whether `cause` explains a crash better than `fingerprint`, which was on the same target: apart
    /// from each other, only `cause` has crashed targets, up to `until`.
    ///
    /// When different requests crash most of the targets at once, a harmless one that all callers
    /// send was on each of them and has more crashes than any of the causes.
    fn is_better_explanation(
        &self,
        cause: Fingerprint,
        fingerprint: Fingerprint,
        until: Option<Instant>,
    ) -> bool {
        self.is_incriminated_without(cause, fingerprint, until)
            && !self.is_incriminated_without(fingerprint, cause, until)
    }

    /// Whether a request has crashed targets up to `until` that were running neither `absent` nor another request
    /// with as many crashes.
    fn is_incriminated_without(
        &self,
        fingerprint: Fingerprint,
        absent: Fingerprint,
        until: Option<Instant>,
    ) -> bool {
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
        let crashes = self.crashes_until(record, until).filter(is_only_cause);
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
