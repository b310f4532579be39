//! Crash records of all requests known to one node.

use std::collections::HashMap;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::attribution::MAX_PARTS_PER_CRASH;
use super::crash::{Crash, CrashStatus, SuccessfulRun, TargetIncarnation};
use super::evidence::{Evidence, Subject};
use super::record::{Record, RequestStatus};

/// Maximum number of records, about 2 MB: enough for the streams of 250 targets that crash within ten minutes, 16
/// streams each.
const MAX_RECORDS: usize = 4096;

/// Number of records evicted at once when the table is full, so that not every new record requires a full scan.
const EVICTION_BATCH: usize = 64;

/// Maximum number of requests and parts of prompts recorded per crashed target: those of 16 streams that share no part.
const MAX_REQUESTS_PER_CRASH: usize = 16 * (1 + MAX_PARTS_PER_CRASH);

/// Net evidence for a part of prompts, in crashes, from which on further successful runs are not counted: where causes crash
/// targets one after the other, few answers come through, and a popular part is on each of these targets.
const PART_RESERVE: f64 = 16.0;

/// Shortest time in which a target restarts; a send that fails sooner after a crash belongs to the same crash.
const RESTART_TIME: Duration = Duration::from_millis(50);

/// A crashed target incarnation.
#[derive(Clone, Debug)]
pub(super) struct CrashedTarget {
    /// When this node first learned of the crash.
    pub(super) at: Instant,
    /// Requests that it was running.
    pub(super) requests: Vec<Fingerprint>,
}

/// Quarantine state of all requests, as known to one node.
///
/// Nodes that exchange all crashes and successful runs arrive at the same evidence in whatever order they learn of
/// them.
#[derive(Debug, Default)]
pub struct Quarantine {
    pub(super) records: HashMap<Fingerprint, Record>,
    pub(super) crashed_targets: HashMap<TargetIncarnation, CrashedTarget>,
}

impl Quarantine {
    /// Records that a target crashed during a send of this node that began at `sent_at`; returns the crash if it is
    /// new.
    pub fn observe_crash(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        target: u64,
        sent_at: Instant,
    ) -> Option<Crash> {
        let crash = Crash {
            fingerprint,
            target: self.incarnation_of(fingerprint, target, sent_at),
        };
        (self.on_crash(now, crash) == CrashStatus::New).then_some(crash)
    }

    /// The incarnation of a target that crashed during a send which began at `sent_at`.
    ///
    /// It is a new one if a crash of the last one, under any request, is known from before the send. So requests that
    /// were on the target at the same time share an incarnation, and others don't.
    fn incarnation_of(
        &self,
        fingerprint: Fingerprint,
        target: u64,
        sent_at: Instant,
    ) -> TargetIncarnation {
        let own = self.records.get(&fingerprint);
        let own = own.and_then(|r| r.last_crashed_incarnation_of(target));
        let crashes = self
            .crashed_targets
            .iter()
            .filter(|(incarnation, _)| incarnation.target == target);
        let all = crashes
            .map(|(incarnation, crashed)| (incarnation.number, crashed.at))
            .chain(own);
        let number = match all.max_by_key(|(number, _)| *number) {
            None => 0,
            Some((last, crashed_at)) if sent_at > crashed_at + RESTART_TIME => {
                last.saturating_add(1)
            }
            Some((last, _)) => last,
        };
        TargetIncarnation { target, number }
    }

    /// Records a crash, whether seen here or reported by another node.
    pub fn on_crash(&mut self, now: Instant, crash: Crash) -> CrashStatus {
        let status = self
            .record(now, crash.fingerprint)
            .on_crash(now, crash.target);
        if status == CrashStatus::New {
            let crashed =
                self.crashed_targets
                    .entry(crash.target)
                    .or_insert_with(|| CrashedTarget {
                        at: now,
                        requests: Vec::new(),
                    });
            if crashed.requests.len() < MAX_REQUESTS_PER_CRASH {
                crashed.requests.push(crash.fingerprint);
            }
        }
        status
    }

    /// Records a successful run of a request; false if it was known or no more runs are counted.
    pub fn on_successful_run(&mut self, now: Instant, run: SuccessfulRun) -> bool {
        self.record(now, run.fingerprint).on_successful_run(run.run)
    }

    /// Lifts the quarantine of a request for an operator: its known crashes don't count again. False if there were
    /// none.
    pub fn lift_quarantine(&mut self, fingerprint: Fingerprint) -> bool {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return false;
        };
        let had_crashes = record.crashed_incarnations().next().is_some();
        record.dismiss_crashes();
        had_crashes
    }

    /// Whether a crash of a target is known, by the hash of its name and start.
    pub fn knows_crash_of(&self, target: u64) -> bool {
        self.crashed_targets
            .keys()
            .any(|incarnation| incarnation.target == target)
    }

    /// Whether a crash of a target is known from before a send to it, so that a later incarnation got the send.
    pub fn has_crashed_before(&self, target: u64, sent_at: Instant) -> bool {
        let mut crashes = self.crashed_targets.iter();
        crashes.any(|(incarnation, crashed)| incarnation.target == target && crashed.at < sent_at)
    }

    /// Whether there is a record of a request.
    pub fn knows(&self, fingerprint: Fingerprint) -> bool {
        self.records.contains_key(&fingerprint)
    }

    fn record(&mut self, now: Instant, fingerprint: Fingerprint) -> &mut Record {
        if !self.records.contains_key(&fingerprint) && self.records.len() >= MAX_RECORDS {
            self.evict(now);
        }
        let record = self.records.entry(fingerprint);
        record.or_insert_with(|| Record::new(now, Subject::of(fingerprint)))
    }

    /// Status of a request that holds these parts in its prompt.
    pub fn request_status(
        &self,
        now: Instant,
        request: Fingerprint,
        parts: &[Fingerprint],
    ) -> RequestStatus {
        let own = self.status(now, request);
        if own.is_quarantined() {
            return own;
        }
        let quarantined = parts.iter().find_map(|part| {
            let status = self.status(now, *part);
            // A request with only one of several parts that crashed the same targets tells them apart.
            let is_whole_cause = || {
                let others = self.inseparable_parts(*part);
                others.iter().all(|other| parts.contains(other))
            };
            (status.is_quarantined() && is_whole_cause()).then_some(status)
        });
        quarantined.unwrap_or(own)
    }

    /// Whether a successful run of a request with this part would still change what is believed of it.
    pub fn needs_successful_run(&self, part: Fingerprint) -> bool {
        self.knows(part) && self.weight(part) > -PART_RESERVE
    }

    /// Status of a request or a part of prompts by itself.
    pub fn status(&self, now: Instant, fingerprint: Fingerprint) -> RequestStatus {
        let Some(record) = self.records.get(&fingerprint) else {
            return RequestStatus::Clear;
        };
        if fingerprint.is_prompt_part() && !record.evidence().is_suspicious() {
            // Popular parts have a record for as long as any target has crashed lately.
            return RequestStatus::Clear;
        }
        let kind = self.quarantine_kind(fingerprint, record);
        let until = |beyond| record.quarantined_until(beyond, kind);
        let evidence = self.unexplained_evidence(fingerprint, record);
        // A harmless part may be in many of the requests beside a cause, so nothing is certain about parts.
        let certain = match Subject::of(fingerprint) {
            Subject::Request => record.evidence().crashes_past_certainty().map(until),
            Subject::PromptPart => None,
        };
        if let Some(until) = certain.filter(|until| *until > now) {
            return RequestStatus::Quarantined { left: until - now };
        }
        let left = self
            .crashes_past_quarantine(now, fingerprint, evidence)
            .map(|beyond| until(beyond).saturating_duration_since(now));
        match left {
            Some(left) if !left.is_zero() && !self.has_equal_suspect(fingerprint, record) => {
                RequestStatus::Quarantined { left }
            }
            _ if evidence.is_suspicious() => RequestStatus::Suspect,
            _ => RequestStatus::Clear,
        }
    }

    /// Number of crashes beyond those required for quarantine; `None` if more are required.
    fn crashes_past_quarantine(
        &self,
        now: Instant,
        fingerprint: Fingerprint,
        evidence: Evidence,
    ) -> Option<u32> {
        // Most requests are far from quarantine; this avoids scanning the other crashes for them.
        evidence.crashes_past_quarantine(0)?;
        evidence.crashes_past_quarantine(self.unexplained_crashes(now, fingerprint))
    }

    /// Whether one more crash would put a request into quarantine.
    pub fn is_one_crash_from_quarantine(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        let Some(record) = self.records.get(&fingerprint) else {
            return false;
        };
        let mut evidence = self.unexplained_evidence(fingerprint, record);
        evidence.crashes += 1;
        self.crashes_past_quarantine(now, fingerprint, evidence)
            .is_some()
    }

    /// Crashes of one request.
    pub fn crashes_of(&self, fingerprint: Fingerprint) -> Vec<Crash> {
        let record = self.records.get(&fingerprint);
        record.map_or(Vec::new(), |r| crashes(fingerprint, r).collect())
    }

    /// Successful runs of one request.
    pub fn successful_runs_of(&self, fingerprint: Fingerprint) -> Vec<SuccessfulRun> {
        let record = self.records.get(&fingerprint);
        let runs = record.into_iter().flat_map(Record::successful_runs);
        runs.map(|run| SuccessfulRun { fingerprint, run }).collect()
    }

    /// Crashes of all requests in quarantine, to be sent to a node that may not know them.
    pub fn quarantined(&self, now: Instant) -> impl Iterator<Item = Crash> {
        let all = self.records.iter();
        all.filter(move |(fingerprint, _)| self.status(now, **fingerprint).is_quarantined())
            .flat_map(|(fingerprint, r)| crashes(*fingerprint, r))
    }

    /// Removes expired records.
    pub fn remove_expired(&mut self, now: Instant) {
        let expiries: HashMap<Fingerprint, Instant> = self.expiries(now).collect();
        self.records.retain(|fingerprint, _| {
            expiries
                .get(fingerprint)
                .is_some_and(|expires_at| now < *expires_at)
        });
        self.remove_unrecorded_requests();
    }

    /// Expiry time of each record.
    fn expiries(&self, now: Instant) -> impl Iterator<Item = (Fingerprint, Instant)> {
        self.records.iter().map(move |(fingerprint, record)| {
            let evidence = self.unexplained_evidence(*fingerprint, record);
            let beyond = self.crashes_past_quarantine(now, *fingerprint, evidence);
            let kind = self.quarantine_kind(*fingerprint, record);
            (*fingerprint, record.expires_at(beyond, kind))
        })
    }

    /// Removes requests without a record from the crashed targets, and targets without any request left.
    fn remove_unrecorded_requests(&mut self) {
        self.crashed_targets.retain(|_, crashed| {
            crashed
                .requests
                .retain(|fingerprint| self.records.contains_key(fingerprint));
            !crashed.requests.is_empty()
        });
    }

    /// Number of requests with a record.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Makes room by removing the records that expire first; those in quarantine expire after the others.
    fn evict(&mut self, now: Instant) {
        self.remove_expired(now);
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let mut expiries: Vec<(Instant, Fingerprint)> = self
            .expiries(now)
            .map(|(fingerprint, expires_at)| (expires_at, fingerprint))
            .collect();
        expiries.sort_unstable();
        for (_, fingerprint) in expiries.iter().take(EVICTION_BATCH) {
            self.records.remove(fingerprint);
        }
        self.remove_unrecorded_requests();
    }
}

fn crashes(fingerprint: Fingerprint, record: &Record) -> impl Iterator<Item = Crash> {
    let crashed_incarnations = record.crashed_incarnations();
    crashed_incarnations.map(move |target| Crash {
        fingerprint,
        target,
    })
}
