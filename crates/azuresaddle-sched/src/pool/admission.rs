//! Admission of requests to the queue.

use std::time::Duration;

use azuresaddle_core::bounded_time::saturating_seconds;
use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::Pool;
use crate::action::{Action, Refusal, RefusalReason};
use crate::class::Class;
use crate::queue::{QueueEntry, WaitKey};
use crate::reservation_request::ReservationRequest;

/// Change of a request's due time per priority step.
const PRIORITY_STEP: Duration = Duration::from_secs(1);

/// Wait before a request is due, as a multiple of its prefill time.
const WAIT_PER_PREFILL: u32 = 8;

/// Retry delay if the queue is full, no target is usable or the retry budget is used up.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Shortest retry delay returned to a client.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

impl Pool {
    /// Adds a request to the queue; a later action grants or refuses it.
    ///
    /// A request that is already waiting or running is ignored.
    pub fn enqueue(&mut self, now: Instant, request: ReservationRequest) {
        if self.knows(request.stream) {
            return;
        }
        let stream = request.stream;
        if let Err(refusal) = self.admit(now, request) {
            self.actions.push(Action::Refused { stream, refusal });
        }
    }

    fn admit(&mut self, now: Instant, request: ReservationRequest) -> Result<(), Refusal> {
        self.check_capacity(now, &request)?;
        let tokens = self.best_uncached_tokens(now, &request);
        let class = self.class_of(tokens);
        let prefill = saturating_seconds(tokens / self.reference_rate());
        let members = self.member_count_for(&request).max(1) as u32;
        let start_by = self.check_deadline(now, &request, class, prefill / members)?;
        if request.stream.attempt > 0 && !self.retries.take() {
            return Err(refusal(RefusalReason::RetryBudget, UNAVAILABLE_RETRY_AFTER));
        }
        self.usage.admit(
            now,
            &request.account,
            request.prompt_tokens,
            &request.limits,
        )?;
        if request.stream.attempt == 0 {
            self.retries.on_first_attempt();
            self.demand.on_arrival(now, class, prefill);
        }
        let cost = prefill.as_secs_f64() / self.targets.len().max(1) as f64;
        let tag = self.fair[class.index()].tag(&request.account, cost, request.weight);
        let mut due = now;
        if self.options.order_by_slack {
            due = due_time(now, &request, prefill / members, start_by);
        }
        if self.options.fair_accounts {
            due += tag.ahead;
        }
        self.queue.push(QueueEntry {
            request,
            class,
            prefill,
            start_by,
            tag,
            due,
        });
        Ok(())
    }

    fn check_capacity(&self, now: Instant, request: &ReservationRequest) -> Result<(), Refusal> {
        if self.queue.len() >= self.options.max_waiting {
            return Err(refusal(RefusalReason::QueueFull, UNAVAILABLE_RETRY_AFTER));
        }
        if self.member_count_for(request) == 0 {
            let total: u64 = self.targets.values().map(|t| t.spec.memory_tokens).sum();
            if request.memory_tokens() > total && total > 0 {
                return Err(Refusal {
                    reason: RefusalReason::TooLarge,
                    retry_after: None,
                });
            }
            return Err(refusal(RefusalReason::NoTarget, UNAVAILABLE_RETRY_AFTER));
        }
        let usable = self
            .targets
            .values()
            .any(|t| !t.leaving && t.breaker.open_until(now).is_none());
        if !usable {
            return Err(refusal(RefusalReason::NoTarget, UNAVAILABLE_RETRY_AFTER));
        }
        Ok(())
    }

    /// Returns the latest start that leaves time for the answer, or refuses the request if the
    /// expected wait is longer.
    fn check_deadline(
        &self,
        now: Instant,
        request: &ReservationRequest,
        class: Class,
        prefill: Duration,
    ) -> Result<Instant, Refusal> {
        let needed = prefill + self.answers.answer_time_allowance(request.max_tokens);
        let latest = request.deadline.checked_sub(needed).unwrap_or(now);
        if !self.options.check_deadlines {
            return Ok(request.deadline);
        }
        let expected = now + self.expected_wait(now, class);
        if expected > latest {
            return Err(refusal(
                RefusalReason::DeadlineUnreachable,
                expected - latest,
            ));
        }
        Ok(latest)
    }

    /// Expected wait of a new request of a class, based on the queued and running work.
    pub(super) fn expected_wait(&self, now: Instant, class: Class) -> Duration {
        let open = self
            .targets
            .values()
            .filter(|t| t.accepts_work(now))
            .count();
        let running: Duration = self
            .targets
            .values()
            .map(|t| t.prefill_ends_at.saturating_duration_since(now))
            .sum();
        let share = match class {
            Class::Short => open,
            Class::Long => self.max_long_targets(now),
        };
        let busy = match class {
            // Targets are reserved for short prompts, so running prefills seldom delay them.
            Class::Short => Duration::ZERO,
            Class::Long => running,
        };
        (self.queue.backlog(class) + busy) / share.max(1) as u32
    }

    /// Refuses every request that can no longer meet its deadline.
    pub(super) fn refuse_overdue(&mut self, now: Instant) {
        while let Some(key) = self.queue.first_overdue(now) {
            let class = self.queue.get(key).map_or(Class::Short, |w| w.class);
            let wait = self.expected_wait(now, class);
            if let Some(stream) = self.withdraw(key) {
                let refusal = refusal(RefusalReason::DeadlineUnreachable, wait);
                self.actions.push(Action::Refused { stream, refusal });
            }
        }
    }

    /// Removes a request from the queue without a reservation.
    pub(super) fn withdraw(&mut self, key: WaitKey) -> Option<StreamId> {
        let waiting = self.queue.remove(key)?;
        self.usage.release(&waiting.request.account);
        self.cancel_drain_for(key);
        self.reset_fairness_if_idle(waiting.class);
        Some(waiting.request.stream)
    }

    pub(super) fn reset_fairness_if_idle(&mut self, class: Class) {
        if self.queue.is_class_empty(class) {
            self.fair[class.index()].on_idle();
        }
    }

    pub(super) fn class_of(&self, prefill_tokens: f64) -> Class {
        let is_long = prefill_tokens > self.options.short_max_tokens as f64;
        if self.options.separate_classes && is_long {
            Class::Long
        } else {
            Class::Short
        }
    }
}

/// Time by which a request should start; the queue is ordered by it.
///
/// The allowed wait grows with the prefill, so that a prompt does not wait behind much longer ones.
/// It is at most half of the time until the latest start, so that the longest prompts start in
/// time.
fn due_time(
    now: Instant,
    request: &ReservationRequest,
    prefill: Duration,
    start_by: Instant,
) -> Instant {
    let allowed = request.first_token_target + prefill * WAIT_PER_PREFILL;
    let longest = start_by.saturating_duration_since(now) / 2;
    let due = now + allowed.min(longest);
    let shift = PRIORITY_STEP * u32::from(request.priority.unsigned_abs());
    if request.priority >= 0 {
        due.checked_sub(shift).unwrap_or(now)
    } else {
        due + shift
    }
}

fn refusal(reason: RefusalReason, retry_after: Duration) -> Refusal {
    Refusal {
        reason,
        retry_after: Some(retry_after.max(MIN_RETRY_AFTER)),
    }
}
