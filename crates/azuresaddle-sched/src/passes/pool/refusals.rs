//! Refusal of requests that cannot be served in time.

use std::time::Duration;

use azuresaddle_core::bounded_time::{saturating_millis, scaled};
use tokio::time::Instant;

use super::PassPool;
use crate::passes::long_plan::MAX_ENGINES_PER_PROMPT;
use crate::passes::queue::{QueuePosition, Waiting};
use crate::passes::request::{PlacementDecision, PlacementRequest};

/// Time between two checks of all waiting requests; a tenth of the time that a short one can wait.
const REFUSAL_INTERVAL: Duration = Duration::from_millis(30);

/// Minimum retry delay that is reported.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Maximum retry delay that is reported.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Number of requests that one client account may have waiting, as a fraction of the pool's slots;
/// keeps room for the other accounts during a flood.
const ACCOUNT_WAITING_SHARE: f64 = 0.06;

/// Number of requests that an account may always have waiting.
const MIN_ACCOUNT_WAITING: usize = 8;

/// Time for which an account, or the short prompts together, must have had requests waiting to
/// count as a flood or a crowd. Callers that return together after an outage are no flood; most of
/// them are placed within a tenth of that time.
const FLOOD_AGE: Duration = Duration::from_millis(500);

/// Retry delay for an account that floods the queue; its waiting requests are decided by then.
const FLOOD_RETRY_AFTER: Duration = Duration::from_millis(1000);

/// Number of short prompts that may always wait; the estimated wait is unreliable for fewer.
const MIN_CROWD: usize = 6;

/// Fraction of the time to the first event that a short prompt may be expected to wait.
const CROWD_WAIT_SHARE: f64 = 0.7;

/// Expected wait up to which a short prompt that is late already is still queued.
const MIN_CROWD_WAIT: Duration = Duration::from_millis(200);

/// Retry delay for short prompts that a crowd keeps out; streams of two to three seconds have ended
/// by then.
const CROWD_RETRY_AFTER: Duration = Duration::from_millis(2000);

impl PassPool {
    /// Returns the retry delay if one client account has more than half of the queue, has reached
    /// its limit, and has had requests waiting for at least [`FLOOD_AGE`], while other accounts send
    /// requests too.
    ///
    /// When an account sends several times what the engines can handle, its requests come last in
    /// the queue, but its late requests would still fill every engine.
    pub(super) fn flood_retry_after(
        &self,
        now: Instant,
        request: &PlacementRequest,
    ) -> Option<Duration> {
        if !self.options.fair_shares {
            return None;
        }
        let waiting = self.queue.account_queue(&request.account)?;
        let slots = self.engines.len() * self.spec.slots as usize;
        let most = (slots as f64 * ACCOUNT_WAITING_SHARE) as usize;
        let has_others = || {
            let mut clocks = self.fair_clocks.iter();
            clocks.any(|clock| clock.has_other(&request.account))
        };
        let floods = waiting.count >= most.max(MIN_ACCOUNT_WAITING)
            && waiting.count * 2 > self.queue.len()
            && now.saturating_duration_since(waiting.since) >= FLOOD_AGE
            && has_others();
        floods.then_some(FLOOD_RETRY_AFTER)
    }

    /// Returns the retry delay if so many short prompts wait that a new one would be late.
    ///
    /// Only those ahead in the queue count, so an account that floods the queue does not crowd out
    /// other accounts.
    pub(super) fn crowd_retry_after(
        &self,
        now: Instant,
        request: &PlacementRequest,
        prefill_ms: f64,
    ) -> Option<Duration> {
        if !self.options.refuse_crowded || !self.is_short(prefill_ms) {
            return None;
        }
        let ahead = self
            .queue
            .count_before(self.position_of(request, prefill_ms));
        if ahead < MIN_CROWD || !self.crowd_persists(now) {
            return None;
        }
        let available = self.available_engines(now);
        let wait = self.short_load.expected_wait(now, ahead, available.max(1));
        let left = request.first_event_by.saturating_duration_since(now);
        (wait > scaled(left, CROWD_WAIT_SHARE).max(MIN_CROWD_WAIT)).then_some(CROWD_RETRY_AFTER)
    }

    /// Updates since when a crowd of short prompts (at least [`MIN_CROWD`]) waits.
    pub(super) fn update_crowd(&mut self, now: Instant) {
        let is_crowd = self.queue.count_before(QueuePosition::FIRST_LONG) >= MIN_CROWD;
        self.crowd_since = is_crowd.then(|| self.crowd_since.unwrap_or(now));
    }

    /// Whether a crowd has waited too long to be callers that return together.
    fn crowd_persists(&self, now: Instant) -> bool {
        let since = self.crowd_since;
        since.is_some_and(|since| now.saturating_duration_since(since) >= FLOOD_AGE)
    }

    /// Returns the retry delay if a short prompt has become late while enough others can still be
    /// on time.
    fn late_in_crowd_retry_after(&self, now: Instant, waiting: &Waiting) -> Option<Duration> {
        let is_late = waiting.request.first_event_by <= now;
        let is_crowd =
            self.queue.count_before(waiting.position) >= MIN_CROWD && self.crowd_persists(now);
        let applies = self.options.refuse_crowded && self.is_short(waiting.prefill_ms);
        (applies && is_late && is_crowd).then_some(CROWD_RETRY_AFTER)
    }

    /// Returns the retry delay if the request cannot be served in time, given the number of
    /// requests and the long prompts' prefill ahead of it.
    pub(super) fn unservable_retry_after(
        &self,
        now: Instant,
        request: &PlacementRequest,
        prefill_ms: f64,
        prefill_ahead_ms: f64,
        requests_ahead: usize,
    ) -> Option<Duration> {
        let available = self.available_engines(now);
        if available == 0 {
            return self.no_engine_retry_after(now, request, requests_ahead);
        }
        // The engines' interface limits how many engines hold one prompt.
        let most_engines = self.engines.len().min(MAX_ENGINES_PER_PROMPT) as u64;
        let memory = request.prompt_tokens + request.answer_tokens;
        if memory > most_engines * self.spec.memory_tokens {
            return Some(MAX_RETRY_AFTER);
        }
        let wait = self.expected_wait(now, prefill_ms, prefill_ahead_ms, available);
        let least = self.min_prefill_time(prefill_ms, available);
        let comes_at = now + wait + least;
        if comes_at <= request.give_up_at && comes_at + request.decode_time() <= request.deadline {
            return None;
        }
        Some(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }

    /// Returns the retry delay if no engine accepts work now; `None` if a rate-limited engine will
    /// have a token for the request in time.
    fn no_engine_retry_after(
        &self,
        now: Instant,
        request: &PlacementRequest,
        requests_ahead: usize,
    ) -> Option<Duration> {
        let Some(wait) = self.rate_limited_wait(now, requests_ahead) else {
            return Some(MIN_RETRY_AFTER);
        };
        let is_late = request.first_event_by <= now;
        let latest = if is_late {
            request.give_up_at
        } else {
            request.first_event_by
        };
        (now + wait > latest).then(|| wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }

    pub(super) fn available_engines(&self, now: Instant) -> usize {
        self.engines
            .values()
            .filter(|e| e.accepts_work(now))
            .count()
    }

    /// Time to prefill a prompt with all engines that may take part.
    pub(super) fn min_prefill_time(&self, prefill_ms: f64, available: usize) -> Duration {
        let split = if self.is_short(prefill_ms) {
            1
        } else {
            available.clamp(1, MAX_ENGINES_PER_PROMPT)
        };
        saturating_millis(prefill_ms / split as f64)
    }

    /// Expected time until a long prompt starts, from the waiting prompts that will start sooner
    /// and the recent load. Short prompts are not expected to wait.
    fn expected_wait(
        &self,
        now: Instant,
        prefill_ms: f64,
        prefill_ahead_ms: f64,
        available: usize,
    ) -> Duration {
        if self.is_short(prefill_ms) || !self.options.refuse_early {
            return Duration::ZERO;
        }
        let share = self.long_load.free_share(now, prefill_ms, available);
        let wait_ms = (prefill_ahead_ms + prefill_ms) / (available as f64 * share)
            - prefill_ms / available as f64;
        saturating_millis(wait_ms)
    }

    /// Total prefill of the waiting prompts that will start sooner than a long prompt, in
    /// milliseconds. Short prompts are not expected to wait.
    pub(super) fn prefill_ahead_ms(&self, prefill_ms: f64) -> f64 {
        if self.is_short(prefill_ms) {
            return 0.0;
        }
        let waiting = self.queue.iter().map(|w| w.prefill_ms);
        waiting
            .filter(|ms| *ms < prefill_ms && !self.is_short(*ms))
            .sum()
    }

    /// Refuses every waiting request that can no longer be answered in time. It examines the whole
    /// queue, so it does not run in every dispatch.
    pub(super) fn refuse_unservable(&mut self, now: Instant) {
        if now < self.next_refusal_check {
            return;
        }
        self.next_refusal_check = now + REFUSAL_INTERVAL;
        let mut by_prefill: Vec<&Waiting> = self.queue.iter().collect();
        by_prefill.sort_by(|a, b| a.prefill_ms.total_cmp(&b.prefill_ms));
        let mut prefill_ahead_ms = 0.0;
        let mut refused = Vec::new();
        for waiting in by_prefill {
            let refusal = self
                .unservable_retry_after(
                    now,
                    &waiting.request,
                    waiting.prefill_ms,
                    prefill_ahead_ms,
                    0,
                )
                .or_else(|| self.late_in_crowd_retry_after(now, waiting));
            match refusal {
                Some(retry_after) => refused.push((waiting.request.id, retry_after)),
                None if self.is_short(waiting.prefill_ms) => {}
                None => prefill_ahead_ms += waiting.prefill_ms,
            }
        }
        for (id, taken_for) in refused {
            let Some(waiting) = self.queue.remove(id) else {
                continue;
            };
            let retry_after = self.plan_retry(now, &waiting.request, waiting.prefill_ms, taken_for);
            self.refusals.after_wait += 1;
            self.decisions
                .push((id, PlacementDecision::Refused { retry_after }));
        }
    }
}
