//! Why a request lost worth.

use std::fmt;

/// Why a request lost worth, or that it lost none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// Served on time.
    OnTime,
    /// The caller closed the connection; the logs do not show whether the system was the cause.
    CallerLeft,
    /// Refused within an eighth of the latency target.
    RefusedAtOnce,
    /// Refused after a longer wait.
    RefusedLater,
    /// The first event was late, mainly because of the wait for engines.
    LateInQueue,
    /// The first event was late, mainly because of the time that was expected on the engines when
    /// they were chosen.
    LateByPlan,
    /// The first event was late, though it was expected on time when the engines were chosen.
    LateAtEngine,
    /// A pause between events of one target was too long.
    PauseAtEngine,
    /// A pause between events was too long because the stream failed over to another target.
    PauseByFailover,
    /// An answer that is not a stream was late.
    LateAnswer,
    /// The targets failed, or answered with an error status.
    TargetFailed,
    /// The node stopped while the request was in progress. If it was killed, no line logs the end.
    NodeEnded,
}

impl Reason {
    /// All reasons, in report order.
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
