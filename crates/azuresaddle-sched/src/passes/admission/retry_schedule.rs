//! Times at which refused callers were told to retry.
//!
//! Callers that are all told the same time return together and are refused again. Each refusal
//! therefore takes a place in a schedule of the capacity that is expected to become free.

use std::collections::VecDeque;
use std::time::Duration;

use azuresaddle_core::bounded_time::scaled;
use tokio::time::Instant;

/// Duration of a slot of the schedule: shorter than a pass with prefill, in which one batch of
/// requests is started.
const SLOT: Duration = Duration::from_millis(100);

/// Shortest time to a retry; a caller that comes back sooner finds the same queue.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Longest time to a retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// A caller waits for at most its time left over this before it retries.
const CALLER_WAIT_DIVISOR: u32 = 3;

/// Times at which a caller may be told to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::passes) struct RetryWindow {
    earliest: Duration,
    latest: Duration,
}

impl RetryWindow {
    /// The window of a caller with `time_left` while capacity is taken for `taken_for`.
    pub(in crate::passes) fn new(taken_for: Duration, time_left: Duration) -> Self {
        let latest = (time_left / CALLER_WAIT_DIVISOR).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Self {
            earliest: taken_for.clamp(MIN_RETRY_AFTER, latest),
            latest,
        }
    }

    /// Time until the window begins.
    pub(in crate::passes) fn earliest(self) -> Duration {
        self.earliest
    }
}

/// Reservations of future capacity for callers that were told to retry.
#[derive(Debug, Default)]
pub(in crate::passes) struct RetrySchedule {
    /// Begin of the first slot; `None` while nothing is reserved.
    begin: Option<Instant>,
    /// Number of callers that were told to come in each slot.
    reserved: VecDeque<u32>,
}

impl RetrySchedule {
    /// Reserves a place in the first slot of the window with free capacity, and returns the time
    /// until then. Without free capacity in the window, the slot with the fewest reservations is
    /// used.
    pub(in crate::passes) fn reserve(
        &mut self,
        now: Instant,
        window: RetryWindow,
        starts_per_s: f64,
    ) -> Duration {
        let begin = self.drop_past_slots(now);
        let slot_at = |after: Duration| {
            let offset = (now + after).saturating_duration_since(begin);
            (offset.as_millis() / SLOT.as_millis()) as usize
        };
        let (first, last) = (slot_at(window.earliest), slot_at(window.latest));
        if self.reserved.len() <= last {
            self.reserved.resize(last + 1, 0);
        }
        let capacity = (starts_per_s * SLOT.as_secs_f64()).max(1.0) as u32;
        let free = (first..=last).find(|slot| self.reserved[*slot] < capacity);
        let least = (first..=last).min_by_key(|slot| self.reserved[*slot]);
        let slot = free.or(least).unwrap_or(last);
        // Callers of one slot are spread over it.
        let place = f64::from(self.reserved[slot] % capacity) / f64::from(capacity);
        self.reserved[slot] += 1;
        let at = begin + SLOT * slot as u32 + scaled(SLOT, place);
        at.saturating_duration_since(now)
            .clamp(window.earliest, window.latest)
    }

    /// Drops the slots that are over, and returns the begin of the first one.
    fn drop_past_slots(&mut self, now: Instant) -> Instant {
        let mut begin = self.begin.unwrap_or(now);
        while !self.reserved.is_empty() && begin + SLOT <= now {
            self.reserved.pop_front();
            begin += SLOT;
        }
        if self.reserved.is_empty() {
            begin = now;
        }
        self.begin = Some(begin);
        begin
    }
}
