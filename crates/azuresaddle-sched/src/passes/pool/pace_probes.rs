//! Search for slow engines.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::PassPool;
use crate::passes::engine::Engine;

/// Time between two looks at all running streams; an event takes longer.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(30);

/// Questions that may follow each other at once: a rack of engines that turn slow together.
const MAX_PROBE_BURST: f64 = 20.0;

/// Questions a second beyond that. Where the owner itself was held up every first event seems overdue,
/// and asking all 150 engines at once would hold it up again.
const PROBES_PER_S: f64 = 60.0;

/// How many engines may be asked now: a token bucket.
#[derive(Debug)]
pub(super) struct ProbeBudget {
    left: f64,
    filled_at: Instant,
}

impl ProbeBudget {
    /// A full budget.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            left: MAX_PROBE_BURST,
            filled_at: now,
        }
    }

    fn fill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        self.left = (self.left + passed * PROBES_PER_S).min(MAX_PROBE_BURST);
    }

    /// Takes one question; false where none is left.
    fn take(&mut self) -> bool {
        let is_left = self.left >= 1.0;
        if is_left {
            self.left -= 1.0;
        }
        is_left
    }
}

impl PassPool {
    /// Engines that should be asked for their pace now; see [`Self::on_pace`].
    pub fn take_pace_probes(&mut self, now: Instant) -> Vec<HostName> {
        if !self.options.check_pace || now < self.next_overdue_check {
            return Vec::new();
        }
        self.next_overdue_check = now + OVERDUE_CHECK_INTERVAL;
        for stream in self.placed_streams.values_mut() {
            if stream.overdue_at.is_none_or(|at| now < at) {
                continue;
            }
            stream.overdue_at = None;
            for key in std::iter::once(&stream.lead).chain(&stream.helpers) {
                if let Some(engine) = self.engines.get_mut(*key) {
                    engine.pace.suspect();
                }
            }
        }
        self.probes.fill(now);
        let probes = &mut self.probes;
        let engines = self.engines.values_mut();
        // A question counts against the limit of an engine that names one.
        let may_ask = |e: &Engine| e.rate.is_none_or(|rate| rate.has_token(now));
        let is_due = |e: &&mut Engine| e.pace.is_probe_due(now) && may_ask(e);
        let mut due: Vec<&mut Engine> = engines.filter(is_due).collect();
        // Who was asked longest ago comes first, so that none is left out for good.
        due.sort_by_key(|e| e.pace.last_probe_at());
        let asked = due.into_iter().take_while(|_| probes.take());
        asked
            .map(|e| {
                e.pace.on_probe(now);
                e.take_rate_token(now);
                e.name.clone()
            })
            .collect()
    }

    /// Takes the time of an engine's work against that of a usual one, by its own word.
    pub fn on_pace(&mut self, now: Instant, name: &HostName, factor: f64) {
        let Some(engine) = self.names.get(name).and_then(|k| self.engines.get_mut(*k)) else {
            return;
        };
        engine.advance(now, &self.spec);
        engine.pace.on_report(factor);
        // Streams there whose pauses it breaks are late from now on.
        let pass_ms = engine.decode_ms(&self.spec);
        engine.on_pass_planned(pass_ms);
    }
}
