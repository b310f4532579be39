//! A target that ended while it had a request, and a run that its target survived.

use azuresaddle_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Identifies one incarnation of a target, so that the same end is counted once, whoever saw it.
///
/// A target may start again under its name while nobody can read of its new start; that it took a request after its
/// end is known tells that it did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetIncarnation {
    /// Hash of the target's name and of its start, as far as that is known.
    pub target: u64,
    /// Number of this incarnation among those that seem to have the same start.
    pub number: u8,
}

/// A target ended while it had a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The incarnation of the target that ended.
    pub target: TargetIncarnation,
}

/// A run came to a good end, and its target lived on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SuccessfulRun {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Identifies the run, so that it is counted once, whoever tells of it.
    pub run: u64,
}

/// What a node makes of a crash that it is told of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashStatus {
    /// It was not known.
    New,
    /// It was known, or an operator has ended a quarantine by it.
    Known,
}
