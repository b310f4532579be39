//! What is known of one request.

use std::time::Duration;

use tokio::time::Instant;

use super::crash::{CrashStatus, TargetIncarnation};
use super::evidence::Evidence;

/// First time in quarantine: callers that repeat a request do so for seconds or minutes, and a fault of targets
/// is mended in hours.
const INITIAL_QUARANTINE: Duration = Duration::from_secs(600);

/// Most times that it doubles, with one crash more each; 80 minutes is the longest.
const MAX_DOUBLINGS: u32 = 3;

/// First time in quarantine of a request that some target has survived: it may be a sound one that all callers ask, on
/// targets that others end. One copy of it is tried then.
const INITIAL_SHORT_QUARANTINE: Duration = Duration::from_secs(3);

/// Most times that this doubles: a sound one is not to be held back for long after the targets are well again.
const MAX_SHORT_DOUBLINGS: u32 = 1;

/// Most crashes that are told apart: as many as it takes to stop a request whatever its good ends are.
const MAX_RECORDED_CRASHES: usize = 16;

/// Good ends that are counted for each crash: enough that a request which most targets survive is never stopped, and
/// few enough that one which all ask for is not told of with each answer.
const SUCCESSFUL_RUNS_PER_CRASH: usize = 4;

/// Time after the last crash, or after a quarantine, for which a record is kept.
const RETENTION: Duration = Duration::from_secs(600);

/// How a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    /// Nothing that matters is held against it.
    Clear,
    /// Targets have ended while they had the request, and little speaks for it.
    Suspect,
    /// It is sent to no target.
    Quarantined {
        /// Time until it may be tried again.
        left: Duration,
    },
}

impl RequestStatus {
    /// Whether the request is sent to no target.
    pub fn is_quarantined(self) -> bool {
        matches!(self, Self::Quarantined { .. })
    }
}

/// A crash and when this node heard of it.
#[derive(Clone, Copy, Debug)]
struct RecordedCrash {
    target: TargetIncarnation,
    at: Instant,
}

/// What is known of one request.
#[derive(Clone, Debug)]
pub(super) struct Record {
    crashes: Vec<RecordedCrash>,
    /// Runs that came to a good end.
    successful_runs: Vec<u64>,
    /// Crashes that no longer count since an operator said so.
    dismissed: Vec<TargetIncarnation>,
    last_crash_at: Instant,
}

impl Record {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            crashes: Vec::new(),
            successful_runs: Vec::new(),
            dismissed: Vec::new(),
            last_crash_at: now,
        }
    }

    /// Number of the last incarnation of a target that is known to have ended, and when this node heard of its end.
    pub(super) fn last_crashed_incarnation_of(&self, target: u64) -> Option<(u8, Instant)> {
        let known = self.crashes.iter().filter(|k| k.target.target == target);
        let last = known.max_by_key(|k| k.target.number)?;
        Some((last.target.number, last.at))
    }

    /// Notes a crash.
    pub(super) fn on_crash(&mut self, now: Instant, target: TargetIncarnation) -> CrashStatus {
        let is_known = self
            .crashed_incarnations()
            .any(|incarnation| incarnation == target);
        if is_known || self.dismissed.contains(&target) {
            return CrashStatus::Known;
        }
        if self.crashes.len() >= MAX_RECORDED_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(RecordedCrash { target, at: now });
        self.last_crash_at = now;
        CrashStatus::New
    }

    /// Notes that a run of the request came to a good end; false where it was known or no more are counted.
    pub(super) fn on_successful_run(&mut self, run: u64) -> bool {
        let most = SUCCESSFUL_RUNS_PER_CRASH * (self.crashes.len() + 1);
        if self.successful_runs.len() >= most || self.successful_runs.contains(&run) {
            return false;
        }
        self.successful_runs.push(run);
        true
    }

    /// Forgets what is held against the request, for good.
    pub(super) fn dismiss_crashes(&mut self) {
        let crashed_incarnations = self.crashes.drain(..).map(|k| k.target);
        self.dismissed.extend(crashed_incarnations);
        let surplus = self.dismissed.len().saturating_sub(MAX_RECORDED_CRASHES);
        self.dismissed.drain(..surplus);
    }

    /// All that speaks against the request and for it.
    pub(super) fn evidence(&self) -> Evidence {
        self.evidence_with(self.crashes.len())
    }

    /// The same where only some of the crashes can be its doing.
    pub(super) fn evidence_with(&self, crashes: usize) -> Evidence {
        Evidence {
            crashes,
            successful_runs: self.successful_runs.len(),
        }
    }

    /// CrashedTarget of the quarantine after so many crashes more than it takes: one more crash after it begins another one,
    /// twice as long.
    pub(super) fn quarantined_until(&self, beyond: u32) -> Instant {
        let time = if self.evidence().allows_short_quarantine() {
            INITIAL_SHORT_QUARANTINE * (1 << beyond.min(MAX_SHORT_DOUBLINGS))
        } else {
            INITIAL_QUARANTINE * (1 << beyond.min(MAX_DOUBLINGS))
        };
        self.last_crash_at + time
    }

    /// Whether all targets that ended under another request ended under this one too.
    pub(super) fn includes_crashes_of(&self, other: &Self) -> bool {
        other
            .crashed_incarnations()
            .all(|incarnation| self.crashed_incarnations().any(|l| l == incarnation))
    }

    /// Lives of targets that ended.
    pub(super) fn crashed_incarnations(&self) -> impl Iterator<Item = TargetIncarnation> {
        self.crashes.iter().map(|k| k.target)
    }

    /// Runs that came to a good end.
    pub(super) fn successful_runs(&self) -> impl Iterator<Item = u64> {
        self.successful_runs.iter().copied()
    }

    /// When nothing of it matters any more; `beyond` as for [`Self::quarantined_until`], `None` where it never was in
    /// quarantine.
    pub(super) fn expires_at(&self, beyond: Option<u32>) -> Instant {
        let quarantined_until = beyond.map(|b| self.quarantined_until(b));
        quarantined_until.unwrap_or(self.last_crash_at) + RETENTION
    }
}
