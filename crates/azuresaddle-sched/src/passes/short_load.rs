//! Recent starts of short prompts, used to estimate how long a new one will wait.
//!
//! When there are more short prompts than slots, each would wait until it is late, so that all are
//! served late and those at the end of the queue are held until their callers give up.

use std::collections::VecDeque;
use std::time::Duration;

use azuresaddle_core::bounded_time::scaled;
use tokio::time::Instant;

/// Time window over which starts count. A stream lasts one to three seconds, so slots become free
/// evenly over it.
const WINDOW: Duration = Duration::from_millis(1000);

/// Minimum number of starts assumed per engine and window. After a moment in which all engines
/// prefill long parts there may be none, and yet the next passes take some.
const MIN_STARTS_PER_ENGINE: f64 = 2.0;

/// Starts of short prompts within the window.
#[derive(Debug, Default)]
pub(super) struct ShortLoad {
    starts: VecDeque<Instant>,
}

impl ShortLoad {
    /// Records the start of a short prompt.
    pub(super) fn on_start(&mut self, now: Instant) {
        self.starts.push_back(now);
        self.drop_expired(now);
    }

    /// Expected wait of a prompt behind `ahead` others.
    pub(super) fn expected_wait(&self, now: Instant, ahead: usize, engines: usize) -> Duration {
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) <= WINDOW;
        let recent = self.starts.iter().rev().take_while(is_recent).count();
        let starts = (recent as f64).max(MIN_STARTS_PER_ENGINE * engines as f64);
        scaled(WINDOW, (ahead as f64 + 1.0) / starts)
    }

    fn drop_expired(&mut self, now: Instant) {
        while let Some(first) = self.starts.front()
            && now.saturating_duration_since(*first) > WINDOW
        {
            self.starts.pop_front();
        }
    }
}
