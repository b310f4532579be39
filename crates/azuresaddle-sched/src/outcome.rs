//! How a reservation ended.

use serde::{Deserialize, Serialize};

/// How a reservation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The answer is whole.
    Done {
        /// Tokens of the answer.
        tokens: u32,
    },
    /// The caller or the node gave up, and the target confirmed that the stream is gone.
    Cancelled,
    /// The target refused the request before it started.
    TargetRefused,
    /// The target broke off, and it is confirmed that the stream is gone.
    TargetFailed,
}
