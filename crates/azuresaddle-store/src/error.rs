//! Failure of a call to the key-value service.

use thiserror::Error;

use crate::kv::Entry;

/// Why a call failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The call did not reach the service, so it had no effect.
    #[error("store unreachable: {0}")]
    Unreachable(String),
    /// No answer came; a write may have taken effect.
    #[error("store gave no answer: {0}")]
    OutcomeUnknown(String),
    /// The key has another version than expected.
    #[error("the key has changed")]
    Conflict(Option<Entry>),
    /// The lease has lapsed.
    #[error("the lease has lapsed")]
    LeaseExpired,
    /// The stored value can't be read.
    #[error("bad value under {key}: {detail}")]
    BadValue {
        /// The key.
        key: String,
        /// What is wrong.
        detail: String,
    },
}
