//! Recent starts of short prompts, to tell how long a new one would wait.
//!
//! Answers the pattern of more short prompts than the engines have slots for: each waits until it is
//! late, all are served late, and those at the end of the queue are held until their callers give up.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Time over which starts count: a stream lasts one to three seconds, so slots become free evenly
/// over it.
const WINDOW: Duration = Duration::from_millis(1000);

/// Starts in the window that are assumed at least, for each engine: after a moment in which all
/// engines read long parts none may have started, and yet the next passes take some.
const MIN_STARTS_PER_ENGINE: f64 = 2.0;

/// Starts within the window.
#[derive(Debug, Default)]
pub(super) struct ShortLoad {
    starts: VecDeque<Instant>,
}

impl ShortLoad {
    /// Notes that a short prompt was placed.
    pub(super) fn on_start(&mut self, now: Instant) {
        self.starts.push_back(now);
        self.forget(now);
    }

    /// Expected wait of a prompt with as many others before it.
    pub(super) fn expected_wait(&self, now: Instant, ahead: usize, engines: usize) -> Duration {
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) <= WINDOW;
        let recent = self.starts.iter().rev().take_while(is_recent).count();
        let starts = (recent as f64).max(MIN_STARTS_PER_ENGINE * engines as f64);
        WINDOW.mul_f64((ahead as f64 + 1.0) / starts)
    }

    fn forget(&mut self, now: Instant) {
        while let Some(first) = self.starts.front()
            && now.saturating_duration_since(*first) > WINDOW
        {
            self.starts.pop_front();
        }
    }
}
