//! Outcome of a request as seen by its caller.

use std::time::Duration;

use azuresaddle_core::prelude::*;

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OutcomeKind {
    /// The whole answer arrived, and every token belongs to it.
    Whole,
    /// The request failed for good; the problem's verdict says whether it may have run.
    Failed(Problem),
    /// The answer ended incomplete, or nothing final arrived in time.
    Lost,
    /// A token of another answer arrived.
    Crossed,
    /// A token arrived twice or after a gap.
    Doubled,
}

/// Outcome and timing of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Latest identifier of the request, if any answer began.
    pub request: Option<RequestId>,
    /// All identifiers under which an answer began.
    pub requests: Vec<RequestId>,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Time to the final outcome.
    pub total: Duration,
    /// Number of times the request was retried or resumed over another connection.
    pub resumes: u32,
    /// How the request ended.
    pub kind: OutcomeKind,
}
