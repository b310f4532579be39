//! What a node knows of the health of one target.

use std::collections::HashSet;
use std::time::Duration;

use azuresaddle_core::deployment::TargetStart;
use tokio::time::Instant;

use super::counts::SendCounts;
use super::ejection::{Ejection, EjectionEvidence};
use super::evidence::{Assessment, TargetEvidence, WINDOW};
use super::fleet_health::TRIAL_TIME;
use super::update::{HealthUpdate, Observer, ProbeReport, ProbeStage};

/// Time without any observation or report after which an ejection ends: longer than several probes take, so it ends only
/// if no node probes the target.
const MAX_SILENCE: Duration = Duration::from_secs(5);

/// A report of a prober, with the time of its result.
#[derive(Clone, Copy, Debug)]
struct KnownReport {
    observer: Observer,
    at: Instant,
    report: ProbeReport,
}

/// What a node knows of the health of one target.
#[derive(Clone, Debug)]
pub(super) struct TargetRecord {
    pub(super) started: TargetStart,
    pub(super) evidence: TargetEvidence,
    pub(super) ejection: Option<Ejection>,
    /// Whether this node has observations that it has not gossiped.
    pub(super) has_unsent: bool,
    /// When the target last returned to use; earlier observations don't count.
    returned_at: Option<Instant>,
    /// Failed probes of an ejection that ended without an answer of the target.
    unanswered_probes: u32,
    last_evidence_at: Instant,
    report: Option<KnownReport>,
}

impl TargetRecord {
    pub(super) fn new(now: Instant, started: TargetStart) -> Self {
        Self {
            started,
            evidence: TargetEvidence::default(),
            ejection: None,
            has_unsent: false,
            returned_at: None,
            unanswered_probes: 0,
            last_evidence_at: now,
            report: None,
        }
    }

    /// Whether the record holds anything that still counts.
    pub(super) fn is_needed(&self, now: Instant) -> bool {
        self.ejection.is_some()
            || !self.evidence.is_empty()
            || now.saturating_duration_since(self.last_evidence_at) < WINDOW
    }

    /// Records sends of this node. Returns the stage of the trial that they end, if this node is the prober.
    pub(super) fn on_own_sends(
        &mut self,
        now: Instant,
        own: Observer,
        index: u32,
        began_at: Instant,
        counts: &SendCounts,
    ) -> Option<ProbeStage> {
        self.evidence.add(own, index, began_at, counts);
        self.last_evidence_at = now;
        self.has_unsent = true;
        let trial = self.ejection.as_ref()?.trial?;
        if trial.prober != own.node {
            return None;
        }
        if counts.failures() > 0 {
            Some(ProbeStage::Failed)
        } else {
            (counts.responses() > 0).then_some(ProbeStage::Answered)
        }
    }

    /// Merges an update of another node; true if it holds anything new. The report of a node that is cut off is ignored.
    pub(super) fn merge(&mut self, now: Instant, update: &HealthUpdate, is_cut_off: bool) -> bool {
        let mut is_news = false;
        for bucket in &update.buckets {
            is_news |= self.evidence.merge(now, update.observer, bucket);
        }
        if let Some(report) = update.report.filter(|_| !is_cut_off) {
            is_news |= self.on_report(now, update.observer, report);
        }
        if is_news {
            self.last_evidence_at = now;
        }
        is_news
    }

    /// Applies the report of a prober; false if it is known or outdated.
    pub(super) fn on_report(
        &mut self,
        now: Instant,
        observer: Observer,
        report: ProbeReport,
    ) -> bool {
        let age = Duration::from_millis(report.age_ms.into());
        let Some(at) = now.checked_sub(age).filter(|_| age < WINDOW) else {
            return false;
        };
        let is_later = |known: &KnownReport| {
            if known.observer.node == observer.node {
                report.sequence > known.report.sequence
            } else {
                at > known.at
            }
        };
        let has_returned_since = self.returned_at.is_some_and(|returned| returned >= at);
        if !self.report.as_ref().is_none_or(is_later) || has_returned_since {
            return false;
        }
        self.report = Some(KnownReport {
            observer,
            at,
            report,
        });
        self.apply(at, observer, report);
        true
    }

    fn apply(&mut self, at: Instant, observer: Observer, report: ProbeReport) {
        match report.stage {
            ProbeStage::Failed => {
                let evidence = EjectionEvidence::reported(report.scope);
                let ejection = self
                    .ejection
                    .get_or_insert_with(|| Ejection::new(at, evidence, report.failed_probes));
                let began_at = ejection.probing_since.unwrap_or(at);
                ejection.on_probe_failed(began_at, report.failed_probes);
            }
            ProbeStage::OnTrial => {
                if let Some(ejection) = &mut self.ejection {
                    ejection.start_trial(observer.node, at + TRIAL_TIME);
                }
            }
            ProbeStage::Answered => {
                self.unanswered_probes = 0;
                self.return_to_use(at);
            }
        }
    }

    /// Sequence number, stage and age of the report of a node, if it is the latest one and still counts.
    pub(super) fn report_of(&self, now: Instant, node: u64) -> Option<ProbeReport> {
        let known = self.report.filter(|r| r.observer.node == node)?;
        let age = now.saturating_duration_since(known.at);
        (age < WINDOW).then_some(ProbeReport {
            age_ms: age.as_millis() as u16,
            ..known.report
        })
    }

    /// Nodes with observations or a report.
    pub(super) fn observers(&self) -> impl Iterator<Item = u64> {
        let reporter = self.report.map(|r| r.observer.node);
        let all = self.evidence.attempts().map(|a| a.node);
        let others = all.filter(move |node| Some(*node) != reporter);
        others.chain(reporter)
    }

    /// The node that reported last.
    pub(super) fn reporter(&self) -> Option<Observer> {
        self.report.map(|r| r.observer)
    }

    /// Ejects the target, withdraws its ejection, or ends it, according to the evidence.
    pub(super) fn update(&mut self, now: Instant, cut_off: &HashSet<u64>) {
        self.end_trial(now);
        let silence = now.saturating_duration_since(self.last_evidence_at);
        if self.ejection.is_some() && silence >= MAX_SILENCE {
            self.return_to_use(now);
        }
        let assessment = self.evidence.assess(self.returned_at, cut_off);
        match (&mut self.ejection, assessment) {
            (None, Assessment::Fails(evidence)) => {
                let recently = |at: Instant| now.saturating_duration_since(at) < WINDOW;
                let earlier = self.returned_at.is_some_and(recently);
                let failed_probes = if earlier { self.unanswered_probes } else { 0 };
                self.ejection = Some(Ejection::new(now, evidence, failed_probes));
            }
            (Some(ejection), Assessment::Fails(evidence))
                if evidence.failures >= ejection.evidence.failures =>
            {
                ejection.evidence = evidence;
            }
            // Responses that other nodes saw may arrive after their failures.
            (Some(ejection), Assessment::Responds)
                if ejection.failed_probes == 0 && ejection.is_waiting() =>
            {
                self.ejection = None;
            }
            _ => {}
        }
    }

    /// Whether the latest sends to the target failed or, if there are no failures on record, whether it is ejected.
    pub(super) fn is_failing(&self, cut_off: &HashSet<u64>) -> bool {
        let is_failing = self.evidence.is_failing(self.returned_at, cut_off);
        is_failing.unwrap_or(self.ejection.is_some())
    }

    /// Returns the target to use if its trial has ended without a failure.
    fn end_trial(&mut self, now: Instant) {
        let Some(ejection) = &self.ejection else {
            return;
        };
        let ended = ejection.trial.filter(|t| t.until <= now);
        if let Some(trial) = ended {
            self.unanswered_probes = ejection.failed_probes.saturating_add(1);
            self.return_to_use(trial.until);
        }
    }

    fn return_to_use(&mut self, at: Instant) {
        self.ejection = None;
        self.returned_at = Some(at);
    }
}
