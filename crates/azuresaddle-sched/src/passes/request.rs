//! What a pool of engines is asked and answers.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::engine::Engine;

/// Identifies an ask over all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PlacementId {
    /// Incarnation of the node that asks.
    pub node: u64,
    /// Number of the ask at that node.
    pub number: u64,
}

/// A request that a target has ended under; it may be the cause, or only have been there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Whether it shares no engine with another such, since the next crash may be its last.
    pub needs_isolation: bool,
}

/// Asks for engines to run a stream on.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// The ask.
    pub id: PlacementId,
    /// Who asks.
    pub account: ClientAccount,
    /// Failure domain of the node that will relay the answer.
    pub domain: FailureDomain,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Expected length of the answer, in tokens.
    pub answer_tokens: u64,
    /// When the first event is late.
    pub first_event_by: Instant,
    /// Longest pause between events.
    pub pause: Duration,
    /// When the caller gives up if no event has come.
    pub give_up_at: Instant,
    /// When the request must have ended.
    pub deadline: Instant,
    /// Targets that must not be used, since an earlier attempt failed there.
    pub exclude: Vec<HostName>,
    /// The request, where a target has ended while it had it.
    pub suspect: Option<Suspect>,
}

/// Time to write one token of an answer, in milliseconds: a step of an engine with a full batch.
const DECODE_MS_PER_TOKEN: f64 = 1.3;

/// Longest time that an answer is expected to take: callers' estimates of its length are often far
/// too high, and nothing is refused for that.
const MAX_DECODE_TIME: Duration = Duration::from_millis(2500);

impl PlacementRequest {
    /// Whether an engine is not to be used since another suspect runs there.
    ///
    /// Streams of an engine that ends go on together, packed as before, and their callers come back together: twelve
    /// sound requests were beside the one that ended three engines on each of these, and were taken for the cause.
    pub(super) fn must_avoid(&self, now: Instant, engine: &Engine) -> bool {
        self.suspect.is_some_and(|s| s.needs_isolation) && engine.is_isolated(now)
    }

    /// Expected time from the first event to the end.
    pub(super) fn decode_time(&self) -> Duration {
        let expected =
            Duration::from_secs_f64(self.answer_tokens as f64 * DECODE_MS_PER_TOKEN / 1000.0);
        expected.min(MAX_DECODE_TIME)
    }
}

/// Decision about an ask.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementDecision {
    /// Send it now.
    Granted(PlacementGrant),
    /// It has its final answer; it did not run.
    Refused {
        /// When to come back.
        retry_after: Duration,
    },
}

/// Engines for a stream.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementGrant {
    /// The engine that receives the request and writes the answer.
    pub lead: HostName,
    /// Engines that read a part of the prompt besides.
    pub helpers: Vec<HostName>,
    /// Memory to reserve on each helper before the request is sent, in tokens; 0 for none.
    pub helper_memory_tokens: u64,
    /// Expected time to the first event.
    pub first_event_in: Duration,
}

/// How a stream ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamOutcome {
    /// The answer is whole.
    Done,
    /// The caller left, or the ask was withdrawn.
    Cancelled,
    /// A target said that it does not run the stream.
    TargetRefused(HostName),
    /// A target rejected the stream and asked the node to back off.
    TargetBacksOff {
        /// The target.
        target: HostName,
        /// Time of the back-off.
        time: Duration,
    },
    /// A target broke off or fell silent.
    TargetFailed(HostName),
}

/// A stream that a node relays, as a new owner of the pool is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningStream {
    /// The ask.
    pub id: PlacementId,
    /// The engine that writes.
    pub lead: HostName,
    /// Engines that read parts of the prompt.
    pub helpers: Vec<HostName>,
    /// Memory on each helper, in tokens.
    pub helper_memory_tokens: u64,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Expected length of the answer, in tokens.
    pub answer_tokens: u64,
    /// Longest pause between events.
    pub pause: Duration,
    /// Whether the first event has come.
    pub is_decoding: bool,
    /// Expected time until the first event; zero where it has come or is overdue.
    pub first_event_in: Duration,
    /// The request, where a target had ended while it had it.
    pub suspect: Option<Suspect>,
}
