//! Rate at which waiting short prompts have been started recently.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Time window over which starts count. Engines that are lost lower the rate within that time, and
/// it spans several passes.
const WINDOW: Duration = Duration::from_millis(500);

/// Shortest observation that gives a rate. Engines take new prompts between passes, so a shorter
/// one may lie within a single pass of all of them.
const MIN_OBSERVED: Duration = Duration::from_millis(200);

/// Time after a change of owner in which the rate is not used. After an outage of all nodes, callers return within that
/// time, most of them without another retry: 215 of them were refused in one second, and 98 were never served.
const RETURN_TIME: Duration = Duration::from_secs(3);

/// Number of starts after which the rate is used; a new owner knows none.
const MIN_STARTS: usize = 16;

/// Starts of short prompts within the window.
///
/// While none waits, starts show the demand instead of what the engines can do, so only the
/// time with a waiting prompt is observed.
#[derive(Debug, Default)]
pub(in crate::passes) struct StartRate {
    starts: VecDeque<Instant>,
    /// Number of starts so far, counted up to [`MIN_STARTS`].
    seen: usize,
    /// Since when short prompts have been waiting; `None` if none waits.
    waiting_since: Option<Instant>,
    /// When the rate may be used; `None` if at once.
    usable_from: Option<Instant>,
}

impl StartRate {
    /// Creates the record of a new owner.
    pub(in crate::passes) fn after_handover(now: Instant) -> Self {
        Self {
            usable_from: Some(now + RETURN_TIME),
            ..Self::default()
        }
    }

    /// Records the start of a short prompt.
    pub(in crate::passes) fn on_start(&mut self, now: Instant) {
        self.seen = (self.seen + 1).min(MIN_STARTS);
        self.starts.push_back(now);
        while let Some(first) = self.starts.front()
            && now.saturating_duration_since(*first) > WINDOW
        {
            self.starts.pop_front();
        }
    }

    /// Records whether short prompts wait.
    pub(in crate::passes) fn set_waiting(&mut self, now: Instant, is_waiting: bool) {
        self.waiting_since = is_waiting.then(|| self.waiting_since.unwrap_or(now));
    }

    /// Starts per second while prompts waited, at least one in the window; `None` before enough is
    /// known.
    pub(in crate::passes) fn per_s(&self, now: Instant) -> Option<f64> {
        if self.usable_from.is_some_and(|from| now < from) {
            return None;
        }
        let waiting = now.saturating_duration_since(self.waiting_since?);
        let observed = waiting.min(WINDOW);
        if self.seen < MIN_STARTS || observed < MIN_OBSERVED {
            return None;
        }
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) <= observed;
        let recent = self.starts.iter().rev().take_while(is_recent).count();
        Some(recent.max(1) as f64 / observed.as_secs_f64())
    }
}
