//! Detection of slow engines by probes of their pace.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::PassPool;
use crate::passes::engine::Engine;

/// Time between two checks of all running streams; an event takes longer.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(30);

/// Maximum burst of probes: enough for a rack of engines that become slow together.
const MAX_PROBE_BURST: f64 = 20.0;

/// Sustained probes per second. If the owner itself was stalled, every first event seems overdue,
/// and probing all 150 engines at once would stall it again.
const PROBES_PER_S: f64 = 60.0;

/// Token bucket that limits the probes.
#[derive(Debug)]
pub(super) struct ProbeBudget {
    left: f64,
    filled_at: Instant,
}

impl ProbeBudget {
    /// Creates a full bucket.
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

    /// Takes one token; returns false if none is left.
    fn take(&mut self) -> bool {
        let is_left = self.left >= 1.0;
        if is_left {
            self.left -= 1.0;
        }
        is_left
    }
}

impl PassPool {
    /// Returns the engines to probe for their pace now; the results go to [`Self::on_pace`].
    pub fn take_pace_probes(&mut self, now: Instant) -> Vec<HostName> {
        if !self.options.probe_pace || now < self.next_overdue_check {
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
                    engine.pace.mark_suspected();
                }
            }
        }
        self.probes.fill(now);
        let probes = &mut self.probes;
        let engines = self.engines.values_mut();
        // A probe counts against the engine's rate limit.
        let may_probe = |e: &Engine| e.rate_bucket.is_none_or(|rate| rate.has_token(now));
        let is_due = |e: &&mut Engine| e.pace.is_probe_due(now) && may_probe(e);
        let mut due: Vec<&mut Engine> = engines.filter(is_due).collect();
        // Engines probed longest ago come first, so that none is left out for good.
        due.sort_by_key(|e| e.pace.last_probe_at());
        let probed = due.into_iter().take_while(|_| probes.take());
        probed
            .map(|e| {
                e.pace.on_probe(now);
                e.take_rate_token(now);
                e.name.clone()
            })
            .collect()
    }

    /// Records the slowdown that an engine reports, relative to a reference engine (1 for full
    /// speed).
    pub fn on_pace(&mut self, now: Instant, name: &HostName, factor: f64) {
        let Some(engine) = self
            .keys_by_name
            .get(name)
            .and_then(|k| self.engines.get_mut(*k))
        else {
            return;
        };
        engine.advance(now, &self.spec);
        engine.pace.on_report(factor);
        // Streams whose pauses this slowdown exceeds are late from now on.
        let pass_ms = engine.decode_ms(&self.spec);
        engine.on_pass_planned(pass_ms);
    }
}
