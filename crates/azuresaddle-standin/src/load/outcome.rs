//! What became of one request, as its caller saw it.

use std::time::Duration;

use azuresaddle_core::prelude::*;

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OutcomeKind {
    /// The whole answer came, and it is the caller's own.
    Whole,
    /// A final failure came, with its verdict.
    Failed(Problem),
    /// No final answer came by the deadline.
    Lost,
    /// A token that is not of this answer came.
    Crossed,
    /// A token came twice, or after a gap.
    Doubled,
}

/// What became of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// The request's last identifier, if any answer began.
    pub request: Option<RequestId>,
    /// Every identifier under which the caller saw an answer begin.
    pub requests: Vec<RequestId>,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Time to the final answer.
    pub total: Duration,
    /// Connections that broke and were replaced.
    pub resumes: u32,
    /// What became of it.
    pub kind: OutcomeKind,
}
