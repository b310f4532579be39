//! Failures of calls to the key-value store.

use thiserror::Error;

use crate::kv::Entry;

/// Why a call to the store failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The call did not reach the store, so it had no effect.
    #[error("store unreachable: {0}")]
    Unreachable(String),
    /// The result is not known; a write may have taken effect.
    #[error("store gave no answer: {0}")]
    OutcomeUnknown(String),
    /// The key has another version than expected; holds its current entry, if it exists.
    #[error("the key has changed")]
    Conflict(Option<Entry>),
    /// The lease has expired.
    #[error("the lease has expired")]
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
