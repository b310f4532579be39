//! Messages between nodes about requests that crash their targets.

use azuresaddle_core::prelude::*;
use azuresaddle_sched::quarantine::{Crash, SuccessfulRun};
use serde::{Deserialize, Serialize};

/// Evidence for or against a request's quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum CrashUpdate {
    /// A target ended while it processed the request.
    Crash(Crash),
    /// A run of the request ended well, and its target survived.
    SuccessfulRun(SuccessfulRun),
    /// An operator ended the request's quarantine.
    QuarantineLifted(Fingerprint),
}
