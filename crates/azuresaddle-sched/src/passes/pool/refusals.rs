//! Refusal of what can't be served in its time.

use std::time::Duration;

use tokio::time::Instant;

use super::PassPool;
use crate::passes::ask::{AskId, PassAsk, PassDecision};
use crate::passes::long_plan::MAX_MEMBERS;

/// Shortest time to come back that is told.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Longest time to come back that is told.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

impl PassPool {
    /// When to come back, where the request can't be served in its time.
    pub(super) fn hopeless(&self, now: Instant, ask: &PassAsk, read_ms: f64) -> Option<Duration> {
        let open = self.open_engines(now);
        if open == 0 {
            return Some(MIN_RETRY_AFTER);
        }
        // The engines' interface lets a prompt lie on so many engines at most.
        let members = self.engines.len().min(MAX_MEMBERS) as u64;
        let memory = ask.prompt_tokens + ask.answer_tokens;
        if memory > members * self.spec.memory_tokens {
            return Some(MAX_RETRY_AFTER);
        }
        let wait = self.expected_wait(now, read_ms, open);
        let least = self.least_time(read_ms, open);
        let comes_at = now + wait + least;
        if comes_at <= ask.give_up_at && comes_at + ask.writing_time() <= ask.deadline {
            return None;
        }
        Some(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }

    pub(super) fn open_engines(&self, now: Instant) -> usize {
        self.engines.values().filter(|e| e.is_open(now)).count()
    }

    /// Time to read a prompt with all engines that may take part.
    pub(super) fn least_time(&self, read_ms: f64, open: usize) -> Duration {
        let split = if self.is_short(read_ms) {
            1
        } else {
            open.clamp(1, MAX_MEMBERS)
        };
        Duration::from_secs_f64(read_ms / split as f64 / 1000.0)
    }

    /// Expected time until a long prompt begins, from what waits before it and the load of late;
    /// short ones are not expected to wait.
    pub(super) fn expected_wait(&self, now: Instant, read_ms: f64, open: usize) -> Duration {
        if self.is_short(read_ms) || !self.options.refuse_early {
            return Duration::ZERO;
        }
        let long = self.queue.iter().filter(|w| !self.is_short(w.read_ms));
        let quicker = long.take_while(|w| w.read_ms < read_ms);
        let ahead_ms: f64 = quicker.map(|w| w.read_ms).sum();
        let share = self.backlog.free_share(now, read_ms, open);
        let wait_ms = (ahead_ms + read_ms) / (open as f64 * share) - read_ms / open as f64;
        Duration::from_secs_f64(wait_ms.max(0.0) / 1000.0)
    }

    /// Refuses every ask that can't be answered in its time any more.
    pub(super) fn refuse_overdue(&mut self, now: Instant) {
        let overdue: Vec<(AskId, Duration)> = self
            .queue
            .iter()
            .filter_map(|w| {
                let retry_after = self.hopeless(now, &w.ask, w.read_ms)?;
                Some((w.ask.id, retry_after))
            })
            .collect();
        for (id, retry_after) in overdue {
            self.queue.remove(id);
            self.decisions
                .push((id, PassDecision::Refused { retry_after }));
        }
    }
}
