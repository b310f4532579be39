//! Outcomes of reservations.

use serde::{Deserialize, Serialize};

/// How a reservation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The answer is complete.
    Done {
        /// Length of the answer, in tokens.
        tokens: u32,
    },
    /// The caller or the node cancelled the request, and the target confirmed that the stream is
    /// gone.
    Cancelled,
    /// The target refused the request before it started.
    TargetRefused,
    /// The target failed during the request, and the stream is confirmed to be gone.
    TargetFailed,
}
