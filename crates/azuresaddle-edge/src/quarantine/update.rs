//! What nodes tell each other of requests that crash their targets.

use azuresaddle_core::prelude::*;
use azuresaddle_sched::quarantine::{Crash, SuccessfulRun};
use serde::{Deserialize, Serialize};

/// Something that is held against a request, or settles it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum CrashUpdate {
    /// A target ended while it had the request.
    Crash(Crash),
    /// A run of the request came to a good end which its target survived.
    GoodEnd(SuccessfulRun),
    /// An operator has ended the quarantine of the request.
    Pardon(Fingerprint),
}
