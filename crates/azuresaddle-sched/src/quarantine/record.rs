//! What is held against one request.

use std::time::Duration;

use tokio::time::Instant;

use super::crash::{Learned, TargetLife};

/// Crashes from which on a request is in quarantine. Each costs its target's other streams, up to 16 of them;
/// but a sound request that goes on elsewhere can meet the same crashing one there, so two prove nothing.
const CRASHES_TO_QUARANTINE: usize = 3;

/// First time in quarantine: callers that repeat a request do so for seconds or minutes, and a fault of targets
/// is mended in hours.
const FIRST_QUARANTINE: Duration = Duration::from_secs(600);

/// Most crashes that are told apart; each beyond the third doubles the time in quarantine, so 80 minutes is
/// the longest.
const MAX_CRASHES: usize = 6;

/// Time after the last crash, or after a quarantine, for which a record is kept.
const KEPT: Duration = Duration::from_secs(600);

/// Time for which a request that came to a good end is not held to be the cause of crashes: what its targets have
/// survived ends them only after a change of theirs. Callers that ask the same all the time were all refused where
/// three targets ended with some of their requests, each by another cause (two of sixteen runs of 15 s under faults).
const CLEARED_FOR: Duration = Duration::from_secs(30);

/// How a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing is held against it.
    Clear,
    /// A target has ended while it had the request.
    Suspect,
    /// It is sent to no target.
    Quarantined {
        /// Time until it may be tried again.
        left: Duration,
    },
}

impl Standing {
    /// Whether the request is sent to no target.
    pub fn is_quarantined(self) -> bool {
        matches!(self, Self::Quarantined { .. })
    }
}

/// A crash and when this node heard of it.
#[derive(Clone, Copy, Debug)]
struct Known {
    target: TargetLife,
    at: Instant,
}

/// What is held against one request.
#[derive(Clone, Debug)]
pub(super) struct Record {
    crashes: Vec<Known>,
    /// How many of them, the first ones, a good end has settled.
    settled: usize,
    last_crash_at: Instant,
    good_end_at: Option<Instant>,
}

impl Record {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            crashes: Vec::new(),
            settled: 0,
            last_crash_at: now,
            good_end_at: None,
        }
    }

    /// The life of a target that ended under a send which began at `sent_at`: another one where the end of the last
    /// is known from before.
    pub(super) fn life_of(&self, target: u64, sent_at: Instant) -> TargetLife {
        let known = self.crashes.iter().filter(|k| k.target.target == target);
        let number = match known.max_by_key(|k| k.target.number) {
            None => 0,
            Some(last) if sent_at > last.at => last.target.number.saturating_add(1),
            Some(last) => last.target.number,
        };
        TargetLife { target, number }
    }

    /// Notes a crash.
    pub(super) fn on_crash(&mut self, now: Instant, target: TargetLife) -> Learned {
        if let Some(at) = self.crashes.iter().position(|k| k.target == target) {
            let is_settled = at < self.settled;
            return if is_settled {
                Learned::Settled
            } else {
                Learned::Known
            };
        }
        if self.crashes.len() >= MAX_CRASHES {
            if self.settled == 0 {
                // Enough are known.
                self.last_crash_at = now;
                return Learned::Known;
            }
            self.crashes.remove(0);
            self.settled -= 1;
        }
        self.crashes.push(Known { target, at: now });
        let is_cleared = self.good_end_at.is_some_and(|at| now - at < CLEARED_FOR);
        if is_cleared {
            self.settled = self.crashes.len();
            return Learned::Settled;
        }
        self.last_crash_at = now;
        Learned::New
    }

    /// Notes that a run of the request came to a good end.
    pub(super) fn on_good_end(&mut self, now: Instant) {
        self.settled = self.crashes.len();
        self.good_end_at = Some(now);
    }

    pub(super) fn standing(&self, now: Instant) -> Standing {
        let left = self.quarantined_until().saturating_duration_since(now);
        if self.count() == 0 {
            Standing::Clear
        } else if left.is_zero() {
            Standing::Suspect
        } else {
            Standing::Quarantined { left }
        }
    }

    /// Whether all targets that ended under another request, as far as nothing has settled it, ended under this one too.
    pub(super) fn has_all_of(&self, other: &Self) -> bool {
        other
            .unsettled()
            .all(|life| self.unsettled().any(|l| l == life))
    }

    /// Whether one more crash brings the request into quarantine.
    pub(super) fn is_on_last_crash(&self) -> bool {
        self.count() + 1 >= CRASHES_TO_QUARANTINE
    }

    /// Lives of targets that ended, as far as no good end has settled them.
    pub(super) fn unsettled(&self) -> impl Iterator<Item = TargetLife> {
        self.crashes[self.settled..].iter().map(|k| k.target)
    }

    /// When nothing of it matters any more.
    pub(super) fn ends_at(&self) -> Instant {
        self.quarantined_until() + KEPT
    }

    fn count(&self) -> usize {
        self.crashes.len() - self.settled
    }

    /// End of the quarantine; one more crash after it begins another one, twice as long.
    fn quarantined_until(&self) -> Instant {
        match self.count().checked_sub(CRASHES_TO_QUARANTINE) {
            Some(beyond) => self.last_crash_at + FIRST_QUARANTINE * (1 << beyond),
            None => self.last_crash_at,
        }
    }
}
