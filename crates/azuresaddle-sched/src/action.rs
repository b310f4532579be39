//! Decisions of a pool: grants and refusals.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A decision for the caller of the pool to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// The request may be sent now.
    Reserved(Grant),
    /// The request is refused; no other action follows for this attempt.
    Refused {
        /// The attempt.
        stream: StreamId,
        /// The reason and when to retry.
        refusal: Refusal,
    },
}

/// A reservation of memory on one or more targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Grant {
    /// The attempt.
    pub stream: StreamId,
    /// The targets; the first one runs the request, the others lend memory to it.
    pub targets: Vec<HostName>,
    /// Memory reserved on each target, in tokens.
    pub memory_tokens: u64,
}

/// A refusal of a request that did not run.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{reason}")]
#[serde(rename_all = "kebab-case")]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// Delay before a retry; `None` if the request can never be served.
    pub retry_after: Option<Duration>,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The expected wait leaves too little time to answer before the deadline.
    #[error("the deadline can't be met")]
    DeadlineUnreachable,
    /// The prompt does not fit in the memory of the pool.
    #[error("the prompt does not fit in the pool's memory")]
    TooLarge,
    /// The pool has no usable target.
    #[error("no target is available")]
    NoTarget,
    /// The client account has too many requests in flight.
    #[error("the client account has reached its limit of requests in flight")]
    InFlightLimit,
    /// The client account exceeds its limit of prompt tokens per second.
    #[error("the client account has reached its limit of prompt tokens a second")]
    TokenRateLimit,
    /// The retry budget of the pool is used up.
    #[error("the retry budget is spent")]
    RetryBudget,
    /// The queue is full.
    #[error("the queue is full")]
    QueueFull,
}
