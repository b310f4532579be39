//! A quarantined request, as listed for operators.

use azuresaddle_core::prelude::*;
use serde::{Deserialize, Serialize};

/// A request that is not sent to any target, since targets crashed while they ran it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuarantinedRequest {
    /// Fingerprint of the request, as in the logs.
    pub fingerprint: Fingerprint,
    /// Number of targets that crashed while they ran it.
    pub targets_ended: usize,
    /// Time until it may be sent again, in seconds.
    pub left_s: u64,
}
