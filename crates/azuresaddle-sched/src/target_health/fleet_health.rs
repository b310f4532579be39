//! A node's view of the health of all targets, from what all nodes observe.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::deployment::{TargetEntry, TargetStart};
use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::counts::SendCounts;
use super::ejection::Ejection;
use super::prober::own_probe_time;
use super::record::TargetRecord;
use super::reported::EjectedTarget;
use super::update::{HealthKey, HealthUpdate, Observer, ProbeReport, ProbeStage};
use super::verdict::{TargetVerdict, TargetVerdicts, VerdictChange};

/// Length of the intervals in which sends are counted: short enough to tell the sends since a target's first failure from
/// earlier ones.
const BUCKET: Duration = Duration::from_millis(250);

/// Longest time for which only the prober sends to a target that accepted its connection: several times what an answer
/// usually takes, and short enough that a healthy target is back in use within a second of a failed probe.
pub(super) const TRIAL_TIME: Duration = Duration::from_millis(200);

/// Targets that a node must have tried for its failures to say something about the node rather than the targets.
const MIN_TRIED_TARGETS: u32 = 3;

/// Targets at which a node must have failed to count as cut off: more than half of those that it must have tried.
const MIN_FAILED_TARGETS: usize = MIN_TRIED_TARGETS as usize / 2 + 1;

/// A node's view of the health of all targets.
///
/// Every node holds one, and decides from the same observations by the same rules. Views of two nodes differ for as long
/// as an update takes from one to the other.
#[derive(Debug)]
pub struct FleetHealth {
    own: Observer,
    /// When the first interval of this node began.
    epoch: Instant,
    records: HashMap<HostName, TargetRecord>,
    /// Nodes that fail at most targets. Their observations don't count.
    cut_off: HashSet<u64>,
    verdicts: TargetVerdicts,
    reports: u32,
}

impl FleetHealth {
    /// Creates the view of a node that has just started.
    pub fn new(now: Instant, own: Observer) -> Self {
        Self {
            own,
            epoch: now,
            records: HashMap::new(),
            cut_off: HashSet::new(),
            verdicts: TargetVerdicts {
                own: own.node,
                ..TargetVerdicts::default()
            },
            reports: 0,
        }
    }

    /// Records sends of this node whose outcome became known just now. Returns whether other nodes should learn of it at
    /// once: it is the first failure in an interval, or it ends a trial.
    pub fn on_sends(
        &mut self,
        now: Instant,
        target: &HostName,
        started: TargetStart,
        counts: &SendCounts,
    ) -> bool {
        let own = self.own;
        let elapsed = now.saturating_duration_since(self.epoch);
        let index = (elapsed.as_millis() / BUCKET.as_millis()) as u32;
        let began_at = self.epoch + BUCKET * index;
        let Some(record) = record(&mut self.records, now, target, started) else {
            return false;
        };
        let had_failed = record.evidence.has_failed_in(own.node, index);
        let ends_trial = record.on_own_sends(now, own, index, began_at, counts);
        if let Some(stage) = ends_trial {
            self.report(now, target, stage);
        }
        ends_trial.is_some() || (counts.failures() > 0 && !had_failed)
    }

    /// Merges an update of another node; true if it holds anything new.
    pub fn on_update(&mut self, now: Instant, update: &HealthUpdate) -> bool {
        if update.observer.node == self.own.node {
            return false;
        }
        let is_cut_off = self.cut_off.contains(&update.observer.node);
        record(&mut self.records, now, &update.target, update.started)
            .is_some_and(|r| r.merge(now, update, is_cut_off))
    }

    /// Records the result of a probe of this node; true if it counts.
    pub fn on_probe(&mut self, now: Instant, target: &HostName, is_connected: bool) -> bool {
        let record = self.records.get(target);
        let ejection = record.and_then(|r| r.ejection.as_ref());
        if ejection.is_none_or(|e| e.probing_since.is_none()) {
            // Another node has reported, or the target has restarted.
            return false;
        }
        let stage = if is_connected {
            ProbeStage::OnTrial
        } else {
            ProbeStage::Failed
        };
        self.report(now, target, stage);
        true
    }

    /// Records a result of this node's own probe or trial.
    fn report(&mut self, now: Instant, target: &HostName, stage: ProbeStage) {
        let Some(record) = self.records.get_mut(target) else {
            return;
        };
        let Some(ejection) = &record.ejection else {
            return;
        };
        self.reports += 1;
        let report = ProbeReport {
            sequence: self.reports,
            stage,
            failed_probes: ejection
                .failed_probes
                .saturating_add(u32::from(stage == ProbeStage::Failed)),
            scope: ejection.evidence.scope,
            age_ms: 0,
        };
        record.on_report(now, self.own, report);
        record.has_unsent = true;
    }

    /// Decides on all targets and returns the changes. `targets` are the targets of plain services; `live` returns the live
    /// nodes, this one among them; it is called only if a target is ejected.
    pub fn decide(
        &mut self,
        now: Instant,
        targets: &[Arc<TargetEntry>],
        live: impl FnOnce() -> Vec<Observer>,
    ) -> Vec<VerdictChange> {
        for target in targets {
            if let Some(record) = self.records.get_mut(&target.id)
                && record.started < target.started
            {
                *record = TargetRecord::new(now, target.started);
            }
        }
        self.records.retain(|_, r| {
            r.evidence.expire(now);
            r.is_needed(now)
        });
        self.cut_off = cut_off_nodes(self.records.values());
        for record in self.records.values_mut() {
            record.update(now, &self.cut_off);
        }
        if self.records.values().any(|r| r.ejection.is_some()) {
            self.schedule_probes(&live());
        }
        let mut verdicts = TargetVerdicts {
            own: self.own.node,
            verdicts: self.verdicts_on(targets),
            ejected: Vec::new(),
        };
        verdicts.ejected = self.ejected(&verdicts);
        let before = std::mem::replace(&mut self.verdicts, verdicts);
        before.changes_to(&self.verdicts)
    }

    fn ejected(&self, verdicts: &TargetVerdicts) -> Vec<EjectedTarget> {
        let all = self.records.iter().filter_map(|(id, record)| {
            let ejection = record.ejection.as_ref()?;
            Some(EjectedTarget {
                target: id.clone(),
                is_used_here: verdicts.accepts(id),
                is_on_trial: ejection.trial.is_some(),
                since: ejection.since,
                failed_probes: ejection.failed_probes,
                evidence: ejection.evidence,
            })
        });
        let mut ejected: Vec<EjectedTarget> = all.collect();
        ejected.sort_by(|a, b| a.target.cmp(&b.target));
        ejected
    }

    fn schedule_probes(&mut self, live: &[Observer]) {
        let own = self.own;
        let is_own_cut_off = self.cut_off.contains(&own.node);
        for (id, record) in &mut self.records {
            let Some(ejection) = &mut record.ejection else {
                continue;
            };
            let scope = ejection.evidence.scope;
            let can_probe = |o: &Observer| scope.covers(*o) && !self.cut_off.contains(&o.node);
            let candidates = live.iter().copied().filter(can_probe);
            ejection.own_probe_at = if scope.covers(own) && !is_own_cut_off {
                own_probe_time(own, id, ejection.probe_at, candidates)
            } else {
                None
            };
        }
    }

    /// Verdicts for this node: at most half of the targets of a service are ejected, those with the most failures first.
    /// None are ejected while all of them fail, since all may be paused and no target is better than another.
    fn verdicts_on(&self, targets: &[Arc<TargetEntry>]) -> HashMap<HostName, TargetVerdict> {
        let mut sizes: HashMap<&str, usize> = HashMap::new();
        let mut failing: HashMap<&str, usize> = HashMap::new();
        let mut ejected: Vec<(&Arc<TargetEntry>, &Ejection)> = Vec::new();
        for target in targets {
            *sizes.entry(&target.service).or_default() += 1;
            let record = self.records.get(&target.id);
            let is_failing = record.is_some_and(|r| r.is_failing(&self.cut_off));
            *failing.entry(&target.service).or_default() += usize::from(is_failing);
            let ejection = record.and_then(|r| r.ejection.as_ref());
            let here = ejection.filter(|e| e.evidence.scope.covers(self.own));
            ejected.extend(here.map(|e| (target, e)));
        }
        ejected.sort_by(|(a, x), (b, y)| {
            let by_failures = y.evidence.failures.cmp(&x.evidence.failures);
            by_failures.then_with(|| a.id.cmp(&b.id))
        });
        let mut verdicts = HashMap::new();
        let mut counts: HashMap<&str, usize> = HashMap::new();
        for (target, ejection) in ejected {
            let size = sizes[&*target.service];
            if failing[&*target.service] == size {
                continue;
            }
            let count = counts.entry(&target.service).or_default();
            if *count < size / 2 {
                *count += 1;
                verdicts.insert(target.id.clone(), verdict(ejection));
            }
        }
        verdicts
    }

    /// The verdicts of the latest decision.
    pub fn verdicts(&self) -> &TargetVerdicts {
        &self.verdicts
    }

    /// Targets that this node is to probe now. Each one stays due until its result is recorded, but is returned once.
    pub fn start_probes(&mut self, now: Instant) -> Vec<HostName> {
        let mut due = Vec::new();
        for (id, record) in &mut self.records {
            let Some(ejection) = &mut record.ejection else {
                continue;
            };
            if ejection.is_probe_due(now) {
                ejection.probing_since = Some(now);
                due.push(id.clone());
            }
        }
        due
    }

    /// When the next probe of this node is due or the next trial ends.
    pub fn next_due(&self) -> Option<Instant> {
        let ejections = self.records.values().filter_map(|r| r.ejection.as_ref());
        let due = ejections.filter_map(|e| match e.trial {
            Some(trial) => Some(trial.until),
            None => e.own_probe_at.filter(|_| e.is_waiting()),
        });
        due.min()
    }

    /// Observations of this node that other nodes should learn of and have not been sent. Without failures no node sends
    /// any: what a node observes of a target matters once the target has failures, or once the node fails at several
    /// targets and may be cut off.
    pub fn take_unsent(&mut self) -> Vec<HealthKey> {
        let own = self.own.node;
        let records = self.records.values();
        let failed = records.filter(|r| r.evidence.has_failures_of(own));
        let may_be_cut_off = failed.count() >= MIN_FAILED_TARGETS;
        let mut keys = Vec::new();
        for (id, record) in &mut self.records {
            let has_report = record.reporter().is_some_and(|o| o.node == own);
            let is_relevant = may_be_cut_off || has_report || record.evidence.has_failures();
            if record.has_unsent && is_relevant {
                record.has_unsent = false;
                keys.push(HealthKey {
                    target: id.clone(),
                    node: own,
                });
            }
        }
        keys
    }

    /// Updates of all nodes on the targets that have failures, for a node that has just started.
    pub fn all_updates(&self, now: Instant) -> Vec<HealthUpdate> {
        let suspect = self
            .records
            .iter()
            .filter(|(_, r)| r.ejection.is_some() || r.evidence.has_failures());
        let keys = suspect.flat_map(|(id, record)| {
            record.observers().map(|node| HealthKey {
                target: id.clone(),
                node,
            })
        });
        keys.filter_map(|key| self.update_for(now, &key)).collect()
    }

    /// An observation as an update for other nodes; `None` if it no longer counts.
    pub fn update_for(&self, now: Instant, key: &HealthKey) -> Option<HealthUpdate> {
        let record = self.records.get(&key.target)?;
        let report = record.report_of(now, key.node);
        let known = record.evidence.update_for(now, key.node);
        let reporter = record.reporter().filter(|_| report.is_some());
        let observer = known.as_ref().map(|(o, _)| *o).or(reporter)?;
        let buckets = known.map(|(_, buckets)| buckets).unwrap_or_default();
        (!buckets.is_empty() || report.is_some()).then(|| HealthUpdate {
            observer,
            target: key.target.clone(),
            started: record.started,
            buckets,
            report,
        })
    }
}

/// The record of a start of a target; `None` if a later start is known.
fn record<'a>(
    records: &'a mut HashMap<HostName, TargetRecord>,
    now: Instant,
    target: &HostName,
    started: TargetStart,
) -> Option<&'a mut TargetRecord> {
    let record = records
        .entry(target.clone())
        .or_insert_with(|| TargetRecord::new(now, started));
    if record.started < started {
        *record = TargetRecord::new(now, started);
    }
    (record.started == started).then_some(record)
}

fn verdict(ejection: &Ejection) -> TargetVerdict {
    match ejection.trial {
        Some(trial) => TargetVerdict::OnTrial {
            prober: trial.prober,
        },
        None => TargetVerdict::Ejected {
            until: ejection.probe_at,
        },
    }
}

/// Nodes that tried at least [`MIN_TRIED_TARGETS`] targets and got no response from more than half of them.
fn cut_off_nodes<'a>(records: impl Iterator<Item = &'a TargetRecord>) -> HashSet<u64> {
    #[derive(Default)]
    struct Tried {
        targets: u32,
        failed: u32,
    }
    let mut nodes: HashMap<u64, Tried> = HashMap::new();
    for attempt in records.flat_map(|r| r.evidence.attempts()) {
        let tried = nodes.entry(attempt.node).or_default();
        tried.targets += 1;
        tried.failed += u32::from(attempt.has_failed);
    }
    let is_cut_off = |t: &Tried| t.targets >= MIN_TRIED_TARGETS && t.failed * 2 > t.targets;
    let cut_off = nodes.into_iter().filter(|(_, t)| is_cut_off(t));
    cut_off.map(|(node, _)| node).collect()
}
