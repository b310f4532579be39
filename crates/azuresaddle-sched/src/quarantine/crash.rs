//! A target that ended while it had a request.

use azuresaddle_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Identifies one life of a target, so that the same end is counted once, whoever saw it.
///
/// A target may start again under its name while nobody can read of its new start; that it took a request after its
/// end is known tells that it did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetLife {
    /// Hash of the target's name and of its start, as far as that is known.
    pub target: u64,
    /// Number of this life among those that seem to have the same start.
    pub number: u8,
}

/// A target ended while it had a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The life of the target that ended.
    pub target: TargetLife,
}

/// What a node makes of a crash that it is told of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Learned {
    /// It was not known, and is held against the request.
    New,
    /// It was known.
    Known,
    /// It is not held against the request, which came to a good end since or shortly before.
    Settled,
}
