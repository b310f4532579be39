//! A target that ended while it had a request.

use azuresaddle_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Identifies one start of a target, so that the same end is counted once, whoever saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetLife(pub u64);

/// A target ended while it had a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The target's start that ended.
    pub target: TargetLife,
}
