//! Engines that end under a request which comes again and again.
//!
//! What the nodes hold against requests is what they hold in the product; nodes are taken to know the same at once.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::passes::{StreamOutcome, Suspect};
use azuresaddle_sched::quarantine::RequestStatus;

use super::{Event, OWNER_DELAY_MS, Simulation, Stream, placement_id};
use crate::passes::engine::EngineModel;

/// Most engines that one request is sent to, as the users' routes have it.
const MAX_RUNS: u32 = 2;

impl Simulation<'_> {
    /// Fingerprint of a request: all that end engines are the same one.
    pub(super) fn fingerprint(&self, i: usize) -> Fingerprint {
        let name = if self.requests[i].crashes_engine {
            usize::MAX
        } else {
            i
        };
        Fingerprint::of(&[&name.to_le_bytes()])
    }

    /// Whether a request is kept from all engines now.
    pub(super) fn is_quarantined(&self, at_ms: f64, i: usize) -> bool {
        let status = self
            .quarantine
            .status(self.instant(at_ms), self.fingerprint(i));
        self.policy.has_quarantine() && status.is_quarantined()
    }

    /// The request as a suspect, where an engine has ended under it.
    pub(super) fn suspect(&self, at_ms: f64, i: usize) -> Option<Suspect> {
        let request = self.fingerprint(i);
        if !self.policy.has_quarantine() || !self.quarantine.knows(request) {
            return None;
        }
        let now = self.instant(at_ms);
        let is_suspect = self.quarantine.status(now, request) != RequestStatus::Clear;
        is_suspect.then(|| Suspect {
            fingerprint: request,
            needs_isolation: self.quarantine.is_one_crash_from_quarantine(now, request),
        })
    }

    /// An engine ends: each stream there goes on elsewhere or is lost, and another engine comes in its stead later.
    pub(super) fn crash(&mut self, at_ms: f64, engine: usize) {
        if std::mem::replace(&mut self.crashed[engine], true) {
            return;
        }
        let back_ms = self
            .workload
            .faults
            .crashing_request
            .map_or(0.0, |c| c.replacement_delay_s * 1000.0);
        self.push(at_ms + back_ms, Event::EngineReplaced(engine));
        let now = self.instant(at_ms);
        let name = self.names[engine].clone();
        let domain = FailureDomain::new(format!("d{}", engine % self.workload.domains));
        for placer in &mut self.placers {
            placer.pool.upsert_engine(now, &name, &domain, true);
        }
        let is_there = |s: &Stream| s.ended_at.is_none() && s.engines.contains(&engine);
        let all = 0..self.streams.len();
        let broken: Vec<usize> = all.filter(|i| is_there(&self.streams[*i])).collect();
        for i in broken {
            self.fail_stream(at_ms, i, engine);
        }
    }

    fn fail_stream(&mut self, at_ms: f64, i: usize, engine: usize) {
        let now = self.instant(at_ms);
        let request = self.fingerprint(i);
        let sent_at = now - Duration::from_millis(1);
        self.quarantine
            .observe_crash(now, request, engine as u64, sent_at);
        let lead = self.streams[i].engines[0];
        let name = self.names[lead].clone();
        for engine in std::mem::take(&mut self.streams[i].engines) {
            self.engines[engine].remove(i);
        }
        if let Some(placer) = self.placer_of(i) {
            placer
                .pool
                .end(now, placement_id(i), &StreamOutcome::TargetFailed(name));
        }
        self.streams[i].grant = None;
        self.streams[i].crash_count += 1;
        self.push(at_ms + OWNER_DELAY_MS, Event::Retry(i));
    }

    /// A stream was sent to engines of which one has ended; it has not run.
    pub(super) fn decline_stream(&mut self, at_ms: f64, i: usize) {
        let now = self.instant(at_ms);
        let lead = self.streams[i].engines[0];
        let name = self.names[lead].clone();
        self.streams[i].engines.clear();
        self.streams[i].grant = None;
        if let Some(placer) = self.placer_of(i) {
            placer
                .pool
                .end(now, placement_id(i), &StreamOutcome::TargetRefused(name));
        }
        self.push(at_ms + OWNER_DELAY_MS, Event::Retry(i));
    }

    /// A stream whose engine ended goes on elsewhere, where its route allows it.
    pub(super) fn retry(&mut self, at_ms: f64, i: usize) {
        let suspect = self.suspect(at_ms, i);
        let is_over = self.streams[i].crash_count >= MAX_RUNS || self.is_quarantined(at_ms, i);
        let now = self.instant(at_ms);
        let Some(placement) = self.streams[i].placement.as_mut() else {
            return;
        };
        if is_over {
            self.streams[i].placement = None;
            return;
        }
        placement.suspect = suspect;
        let placement = placement.clone();
        if let Some(placer) = self.placer_of(i) {
            placer.pool.enqueue(now, placement);
        }
    }

    /// Another engine starts in the stead of one that ended.
    pub(super) fn replace_engine(&mut self, at_ms: f64, engine: usize) {
        let now = self.instant(at_ms);
        let added = self.engines.len();
        let name = HostName::new(format!("engine-{added:02}"));
        let domain = FailureDomain::new(format!("d{}", engine % self.workload.domains));
        self.engines
            .push(EngineModel::new(self.workload.spec.clone(), 1.0));
        self.crashed.push(false);
        self.received_at_ms.push(Vec::new());
        for placer in &mut self.placers {
            placer
                .pool
                .retain_engines(|name| *name != self.names[engine]);
            placer.pool.upsert_engine(now, &name, &domain, false);
        }
        self.names.push(name);
    }
}
