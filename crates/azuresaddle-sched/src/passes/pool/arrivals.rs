//! Decision about a request when it arrives.

use std::time::Duration;

use azuresaddle_core::bounded_time::{saturating_seconds, scaled};
use tokio::time::Instant;

use super::PassPool;
use crate::passes::admission::{RetrySchedule, RetryWindow, StartRate};
use crate::passes::request::PlacementRequest;

/// Fraction of the time to the first event that a short prompt may be expected to wait. Of the rest,
/// it needs up to a whole pass until the next one begins, and that pass; with a larger fraction, many
/// of those that wait are late or refused.
const WAIT_SHARE: f64 = 0.2;

/// Expected wait up to which a short prompt that is late on arrival is queued: its answer is worth
/// more to its caller than a retry.
const LATE_WAIT: Duration = Duration::from_millis(200);

/// Whether a request that arrives is queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ArrivalVerdict {
    /// It is queued.
    Accept,
    /// It is refused.
    Refuse {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

impl PassPool {
    /// Decides whether a request is queued.
    pub(super) fn arrival_verdict(
        &mut self,
        now: Instant,
        request: &PlacementRequest,
        prefill_ms: f64,
    ) -> ArrivalVerdict {
        let unservable = self.unservable_retry_after(
            now,
            request,
            prefill_ms,
            self.prefill_ahead_ms(prefill_ms),
            self.queue.len(),
        );
        let refused = unservable
            .or_else(|| self.flood_retry_after(now, request))
            .or_else(|| self.long_wait(now, request, prefill_ms));
        match refused {
            Some(taken_for) => ArrivalVerdict::Refuse {
                retry_after: self.plan_retry(now, request, prefill_ms, taken_for),
            },
            None => ArrivalVerdict::Accept,
        }
    }

    /// Returns the expected wait of a short prompt if it would be late after it.
    ///
    /// Until the rate of starts is known, the estimate of [`Self::crowd_retry_after`] is used.
    fn long_wait(
        &self,
        now: Instant,
        request: &PlacementRequest,
        prefill_ms: f64,
    ) -> Option<Duration> {
        let is_admitted = self.options.admission && self.is_short(prefill_ms);
        let Some(starts_per_s) = self.short_starts.per_s(now).filter(|_| is_admitted) else {
            return self.crowd_retry_after(now, request, prefill_ms);
        };
        let position = self.position_of(request, prefill_ms);
        let ahead = self.queue.count_on_time_before(now, position);
        let wait = saturating_seconds((ahead + 1) as f64 / starts_per_s);
        let left = request.first_event_by.saturating_duration_since(now);
        let longest = if left.is_zero() {
            LATE_WAIT
        } else {
            scaled(left, WAIT_SHARE)
        };
        (wait > longest).then_some(wait)
    }

    /// Time after which the caller of a refused request may retry, if capacity is taken for
    /// `taken_for`. Without admission that is `taken_for` itself.
    pub(super) fn plan_retry(
        &mut self,
        now: Instant,
        request: &PlacementRequest,
        prefill_ms: f64,
        taken_for: Duration,
    ) -> Duration {
        if !self.options.admission {
            return taken_for;
        }
        let time_left = request.give_up_at.saturating_duration_since(now);
        let window = RetryWindow::new(taken_for, time_left);
        match self.short_starts.per_s(now) {
            Some(starts_per_s) if self.is_short(prefill_ms) => {
                self.retry_schedule.reserve(now, window, starts_per_s)
            }
            _ => window.earliest(),
        }
    }

    /// Forgets what was learned under an earlier ownership of the pool.
    pub(super) fn reset_admission(&mut self, now: Instant) {
        self.short_starts = StartRate::after_handover(now);
        self.retry_schedule = RetrySchedule::default();
    }
}
