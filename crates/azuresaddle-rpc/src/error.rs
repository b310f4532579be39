//! Failures of calls.

use thiserror::Error;

/// A call to another node failed; whether it took effect is unknown unless it was not sent.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RpcError {
    /// No connection was made, so nothing was sent.
    #[error("node unreachable")]
    Unreachable,
    /// The connection broke before the answer came.
    #[error("connection to the node broke")]
    Broken,
    /// No answer came in time.
    #[error("no answer from the node")]
    Timeout,
}
