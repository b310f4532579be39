//! What is held against one request.

use std::time::Duration;

use tokio::time::Instant;

use super::crash::TargetLife;

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

/// What is held against one request.
#[derive(Clone, Debug)]
pub(super) struct Record {
    /// Starts of targets that ended while they had the request.
    crashes: Vec<TargetLife>,
    /// How many of them, the first ones, a good end has settled.
    settled: usize,
    last_crash_at: Instant,
}

impl Record {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            crashes: Vec::new(),
            settled: 0,
            last_crash_at: now,
        }
    }

    /// Notes a crash; true where it was not known and counts.
    pub(super) fn on_crash(&mut self, now: Instant, target: TargetLife) -> bool {
        if self.crashes.contains(&target) {
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES {
            if self.settled == 0 {
                // Enough are known.
                self.last_crash_at = now;
                return false;
            }
            self.crashes.remove(0);
            self.settled -= 1;
        }
        self.crashes.push(target);
        self.last_crash_at = now;
        true
    }

    /// Notes that a run of the request came to a good end: no crash before it was the request's doing.
    pub(super) fn on_good_end(&mut self) {
        self.settled = self.crashes.len();
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

    /// Crashes that no good end has settled.
    pub(super) fn unsettled(&self) -> &[TargetLife] {
        &self.crashes[self.settled..]
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
