//! Crashes of targets while they run a request, and runs that their targets survive.

use azuresaddle_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Identifies one incarnation of a target, so that a crash is counted once, however many nodes report it.
///
/// A target may restart under its name while its new start can't be read, for example while the store is down. A
/// request that it takes after a known crash shows that it has restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetIncarnation {
    /// Hash of the target's name and of its start, as far as the start is known.
    pub target: u64,
    /// Sequence number among the incarnations that appear to have the same start.
    pub number: u8,
}

/// A target crashed while it was running a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The incarnation of the target that crashed.
    pub target: TargetIncarnation,
}

/// A run completed and its target survived it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SuccessfulRun {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Identifies the run, so that it is counted once, however many nodes report it.
    pub run: u64,
}

/// Whether a reported crash was new to this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashStatus {
    /// The crash was not known.
    New,
    /// The crash was known, or was dismissed when an operator lifted the quarantine.
    Known,
}
