//! What a pool decided.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A decision for the caller of the pool to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// The request may be sent now.
    Reserved(Grant),
    /// The request has its final answer.
    Refused {
        /// The attempt.
        stream: StreamId,
        /// Why, and when to come back.
        refusal: Refusal,
    },
}

/// A reservation of memory on one or more targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Grant {
    /// The attempt.
    pub stream: StreamId,
    /// The targets; the first leads, the others lend memory.
    pub targets: Vec<HostName>,
    /// Memory reserved on each target, in tokens.
    pub memory_tokens: u64,
}

/// A refusal; the request did not run.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{reason}")]
#[serde(rename_all = "kebab-case")]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When to come back; `None` where the request can never be served.
    pub retry_after: Option<Duration>,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The expected wait does not leave time to answer.
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
    /// The client account sends more prompt tokens than its limit.
    #[error("the client account has reached its limit of prompt tokens a second")]
    TokenRateLimit,
    /// Too many of the pool's requests are retries.
    #[error("the retry budget is spent")]
    RetryBudget,
    /// The queue is full.
    #[error("the queue is full")]
    QueueFull,
}
