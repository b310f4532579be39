//! Failures of calls to other nodes.

use thiserror::Error;

/// Why a call to another node failed. It may have taken effect unless it was not sent.
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
