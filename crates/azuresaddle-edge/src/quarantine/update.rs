//! Messages between nodes about requests that crash their targets.

use azuresaddle_core::prelude::*;
use azuresaddle_sched::quarantine::{Crash, SuccessfulRun};
use serde::{Deserialize, Serialize};

/// Evidence for or against a request's quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum CrashUpdate {
    /// A target crashed while it ran the request.
    Crash(Crash),
    /// A run of the request completed, and its target survived it.
    SuccessfulRun(SuccessfulRun),
    /// An operator lifted the request's quarantine.
    QuarantineLifted(Fingerprint),
}
