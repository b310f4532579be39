//! The record of a scenario run that the checker evaluates.

use std::collections::BTreeMap;
use std::time::Duration;

use azuresaddle_core::prelude::*;

/// How a request ended, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RequestEnd {
    /// A complete answer to the caller's own request.
    Whole,
    /// A final failure.
    Failed {
        /// Title and detail of the problem.
        problem: String,
        verdict: Verdict,
        retry_after: bool,
    },
    /// No final answer.
    Lost,
    /// The answer contained a token of another answer.
    Crossed,
    /// The answer contained a token twice or out of order.
    Doubled,
}

/// A request that ended, with its limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct EndedRequest {
    pub(super) deadline: Duration,
    pub(super) took: Duration,
    pub(super) end: RequestEnd,
    /// How often targets began to execute it.
    pub(super) executions: u64,
    /// Whether it may run at most once.
    pub(super) once: bool,
}

/// The version of the rules that a node had at one time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RulesObservation {
    pub(super) at: Duration,
    /// Name of the node and number of its restarts; a restarted node counts as a different one.
    pub(super) node: String,
    pub(super) version: u64,
    /// Whether the node could be reached for the last four seconds.
    pub(super) reachable: bool,
}

/// Requests that a leaving target began after its grace period.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LateStart {
    pub(super) target: String,
    pub(super) starts: u64,
}

/// Everything that the checker evaluates.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Trace {
    pub(super) requests: BTreeMap<String, EndedRequest>,
    pub(super) rules: Vec<RulesObservation>,
    /// Versions of the rules that were accepted, each with the time of its acceptance.
    pub(super) accepted: Vec<(Duration, u64)>,
    pub(super) late_starts: Vec<LateStart>,
    /// Memory that targets still held at the end, in tokens.
    pub(super) memory_left: u64,
}
