//! Crashes and successful runs recorded for one request or one part of prompts.

use std::time::Duration;

use tokio::time::Instant;

use super::crash::{CrashStatus, TargetIncarnation};
use super::evidence::{Evidence, SUFFICIENT_CRASHES, Subject};

/// Duration of the first quarantine: callers repeat a request for seconds or minutes, and a fault in the targets is
/// fixed within hours.
const INITIAL_QUARANTINE: Duration = Duration::from_secs(600);

/// Maximum number of times that the duration doubles, once per further crash; the longest quarantine is 80 minutes.
const MAX_DOUBLINGS: u32 = 3;

/// Duration of the first quarantine of a request that some target has survived: it may be a harmless one that many
/// callers send, on targets that other requests crash. One copy of it is tried afterwards.
const INITIAL_SHORT_QUARANTINE: Duration = Duration::from_secs(3);

/// Maximum number of times that the short quarantine doubles: a harmless request must not be held back for long once
/// the targets work again.
const MAX_SHORT_DOUBLINGS: u32 = 1;

/// Duration of the first quarantine of a part of prompts, which doubles with each crash more: many sound requests may
/// hold a part that is accused wrongly, and a cause soon has more crashes than it needs.
const INITIAL_PART_QUARANTINE: Duration = Duration::from_secs(60);

/// Maximum number of times that the quarantine of a part doubles; the longest is 64 minutes.
const MAX_PART_DOUBLINGS: u32 = 6;

/// Maximum number of crashes recorded: as many as quarantine a request despite any number of successful runs.
const MAX_RECORDED_CRASHES: usize = 16;

/// Successful runs counted per crash: enough that a request which most targets survive is never quarantined, and few
/// enough that a popular request is not reported to other nodes with each answer.
const SUCCESSFUL_RUNS_PER_CRASH: usize = 4;

/// Time for which a record is kept after the last crash or the end of the quarantine.
const RETENTION: Duration = Duration::from_secs(600);

/// Status of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    /// There is no relevant evidence against it.
    Clear,
    /// Targets have crashed while running it, and successful runs do not offset that.
    Suspect,
    /// It is not sent to any target.
    Quarantined {
        /// Time until it may be sent again.
        left: Duration,
    },
}

impl RequestStatus {
    /// Whether the request is in quarantine.
    pub fn is_quarantined(self) -> bool {
        matches!(self, Self::Quarantined { .. })
    }
}

/// How long a request is kept from targets before one copy of it is tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QuarantineKind {
    /// Seconds: the request may be harmless.
    Short,
    /// Minutes: the request is the cause of its crashes.
    Long,
    /// A minute and more: a part of prompts is the cause.
    Part,
}

impl QuarantineKind {
    /// The kind that a request's own evidence calls for.
    pub(super) fn of(evidence: Evidence) -> Self {
        if evidence.subject == Subject::PromptPart {
            Self::Part
        } else if evidence.allows_short_quarantine() {
            Self::Short
        } else {
            Self::Long
        }
    }
}

/// A crash and when this node learned of it.
#[derive(Clone, Copy, Debug)]
struct RecordedCrash {
    target: TargetIncarnation,
    at: Instant,
}

/// Crashes and successful runs of one request.
#[derive(Clone, Debug)]
pub(super) struct Record {
    subject: Subject,
    crashes: Vec<RecordedCrash>,
    /// Identifiers of the successful runs.
    successful_runs: Vec<u64>,
    /// Crashes that no longer count because an operator lifted the quarantine.
    dismissed: Vec<TargetIncarnation>,
    last_crash_at: Instant,
}

impl Record {
    pub(super) fn new(now: Instant, subject: Subject) -> Self {
        Self {
            subject,
            crashes: Vec::new(),
            successful_runs: Vec::new(),
            dismissed: Vec::new(),
            last_crash_at: now,
        }
    }

    /// When this node learned of the crash that is enough for a quarantine, unless targets crash for other reasons too;
    /// `None` before.
    pub(super) fn sufficient_crash_at(&self) -> Option<Instant> {
        self.crashes.get(SUFFICIENT_CRASHES - 1).map(|k| k.at)
    }

    /// Number of the last incarnation of a target that is known to have crashed, and when this node learned of it.
    pub(super) fn last_crashed_incarnation_of(&self, target: u64) -> Option<(u8, Instant)> {
        let known = self.crashes.iter().filter(|k| k.target.target == target);
        let last = known.max_by_key(|k| k.target.number)?;
        Some((last.target.number, last.at))
    }

    /// Records a crash.
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

    /// Records a successful run; false if it was known or no more are counted.
    pub(super) fn on_successful_run(&mut self, run: u64) -> bool {
        let most = SUCCESSFUL_RUNS_PER_CRASH * (self.crashes.len() + 1);
        if self.successful_runs.len() >= most || self.successful_runs.contains(&run) {
            return false;
        }
        self.successful_runs.push(run);
        true
    }

    /// Dismisses all recorded crashes; they don't count if they are reported again.
    pub(super) fn dismiss_crashes(&mut self) {
        let crashed_incarnations = self.crashes.drain(..).map(|k| k.target);
        self.dismissed.extend(crashed_incarnations);
        let surplus = self.dismissed.len().saturating_sub(MAX_RECORDED_CRASHES);
        self.dismissed.drain(..surplus);
    }

    /// All evidence against and for the request.
    pub(super) fn evidence(&self) -> Evidence {
        self.evidence_with(self.crashes.len())
    }

    /// The evidence if only `crashes` of the recorded crashes count against the request.
    pub(super) fn evidence_with(&self, crashes: usize) -> Evidence {
        Evidence {
            subject: self.subject,
            crashes,
            successful_runs: self.successful_runs.len(),
        }
    }

    /// End of the quarantine after `beyond` crashes more than it requires: a further crash starts another quarantine,
    /// twice as long.
    pub(super) fn quarantined_until(&self, beyond: u32, kind: QuarantineKind) -> Instant {
        let time = match kind {
            QuarantineKind::Short => {
                INITIAL_SHORT_QUARANTINE * (1 << beyond.min(MAX_SHORT_DOUBLINGS))
            }
            QuarantineKind::Long => INITIAL_QUARANTINE * (1 << beyond.min(MAX_DOUBLINGS)),
            QuarantineKind::Part => INITIAL_PART_QUARANTINE * (1 << beyond.min(MAX_PART_DOUBLINGS)),
        };
        self.last_crash_at + time
    }

    /// Whether this record contains all crashes of another one.
    pub(super) fn includes_crashes_of(&self, other: &Self) -> bool {
        other
            .crashed_incarnations()
            .all(|incarnation| self.crashed_incarnations().any(|l| l == incarnation))
    }

    /// Target incarnations that crashed while running the request.
    pub(super) fn crashed_incarnations(&self) -> impl Iterator<Item = TargetIncarnation> {
        self.crashes.iter().map(|k| k.target)
    }

    /// Identifiers of the successful runs.
    pub(super) fn successful_runs(&self) -> impl Iterator<Item = u64> {
        self.successful_runs.iter().copied()
    }

    /// When the record can be removed; `beyond` as for [`Self::quarantined_until`], `None` if the evidence does not
    /// suffice for a quarantine.
    pub(super) fn expires_at(&self, beyond: Option<u32>, kind: QuarantineKind) -> Instant {
        let quarantined_until = beyond.map(|b| self.quarantined_until(b, kind));
        quarantined_until.unwrap_or(self.last_crash_at) + RETENTION
    }
}
