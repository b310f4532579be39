//! Search for slow engines.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::PassPool;

/// Time between two looks at all running streams; an event takes longer.
const LOOK_INTERVAL: Duration = Duration::from_millis(30);

impl PassPool {
    /// Engines that should be asked for their pace now; see [`Self::on_pace`].
    pub fn take_pace_questions(&mut self, now: Instant) -> Vec<HostName> {
        if !self.options.check_pace || now < self.next_look {
            return Vec::new();
        }
        self.next_look = now + LOOK_INTERVAL;
        for run in self.runs.values_mut() {
            if run.overdue_at.is_none_or(|at| now < at) {
                continue;
            }
            run.overdue_at = None;
            for key in std::iter::once(&run.lead).chain(&run.helpers) {
                if let Some(engine) = self.engines.get_mut(*key) {
                    engine.pace.suspect();
                }
            }
        }
        let engines = self.engines.values_mut();
        engines
            .filter_map(|e| e.pace.take_question(now).then(|| e.name.clone()))
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
        let pass_ms = engine.write_ms(&self.spec);
        engine.on_pass_planned(pass_ms);
    }
}
