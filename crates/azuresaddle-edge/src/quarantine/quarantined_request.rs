//! A request in quarantine, as operators see it.

use azuresaddle_core::prelude::*;
use serde::{Deserialize, Serialize};

/// A request that is sent to no target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuarantinedRequest {
    /// The request, as the logs name it.
    pub fingerprint: Fingerprint,
    /// Targets that ended while they had it.
    pub targets_ended: usize,
    /// Time until it may be tried again, in seconds.
    pub left_s: u64,
}
