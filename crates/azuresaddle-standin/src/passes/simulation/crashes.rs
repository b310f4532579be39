//! Engine crashes caused by a repeated request.
//!
//! Requests are quarantined by the product's own rules. All nodes are assumed to share one state of
//! the quarantine without delay.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::passes::{StreamOutcome, Suspect};
use azuresaddle_sched::quarantine::RequestStatus;

use super::{Event, OWNER_DELAY_MS, Simulation, Stream, placement_id};
use crate::passes::engine::EngineModel;

/// Maximum number of engines that may run a request, as in the users' routes.
const MAX_RUNS: u32 = 2;

impl Simulation<'_> {
    /// Fingerprint of a request. All requests that crash engines share one.
    pub(super) fn fingerprint(&self, i: usize) -> Fingerprint {
        let name = if self.requests[i].crashes_engine {
            usize::MAX
        } else {
            i
        };
        Fingerprint::of(&[&name.to_le_bytes()])
    }

    /// Whether a request is in quarantine now.
    pub(super) fn is_quarantined(&self, at_ms: f64, i: usize) -> bool {
        let status = self
            .quarantine
            .status(self.instant(at_ms), self.fingerprint(i));
        self.policy.has_quarantine() && status.is_quarantined()
    }

    /// Returns the request as a suspect if an engine has crashed while it ran there.
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

    /// Crashes an engine. Its streams are retried on other engines or lost, and a new engine replaces
    /// it later.
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

    /// Fails a stream because one of its engines crashed, and schedules a retry.
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

    /// Handles a stream that was sent to a crashed engine: it has not run and is retried.
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

    /// Requests another placement for a stream, unless it has used up its runs or is in quarantine.
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

    /// Replaces a crashed engine with a new one.
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
