//! Why a request lost worth.

use std::fmt;

/// Why a request lost worth, or that it lost none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// It was served on time.
    OnTime,
    /// Its caller left; whether that was the system's fault can't be told from logs.
    CallerLeft,
    /// It was refused within an eighth of its latency target.
    RefusedAtOnce,
    /// It was refused after it had waited.
    RefusedLater,
    /// The first event was late since engines were found too late.
    LateInQueue,
    /// The first event was late, as was expected when its engines were chosen.
    LateByPlan,
    /// The first event came later than was expected when its engines were chosen.
    LateAtEngine,
    /// A pause between events was too long at one target.
    PauseAtEngine,
    /// A pause between events was too long, since the stream had to go on at another target.
    PauseByFailover,
    /// A plain answer was late.
    LateAnswer,
    /// The targets failed it.
    TargetFailed,
    /// Its node ended while it was under way.
    NodeEnded,
}

impl Reason {
    /// All reasons in the order in which they are reported.
    pub const ALL: [Self; 12] = [
        Self::OnTime,
        Self::LateInQueue,
        Self::LateByPlan,
        Self::LateAtEngine,
        Self::PauseAtEngine,
        Self::PauseByFailover,
        Self::LateAnswer,
        Self::RefusedAtOnce,
        Self::RefusedLater,
        Self::TargetFailed,
        Self::NodeEnded,
        Self::CallerLeft,
    ];
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::OnTime => "on time",
            Self::CallerLeft => "caller left",
            Self::RefusedAtOnce => "refused at once",
            Self::RefusedLater => "refused after a wait",
            Self::LateInQueue => "first event late: queue",
            Self::LateByPlan => "first event late: plan",
            Self::LateAtEngine => "first event late: engine",
            Self::PauseAtEngine => "pause: pass of an engine",
            Self::PauseByFailover => "pause: another target",
            Self::LateAnswer => "late answer",
            Self::TargetFailed => "targets failed",
            Self::NodeEnded => "node ended",
        })
    }
}
