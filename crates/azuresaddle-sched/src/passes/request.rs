//! Placement requests and the pool's decisions about them.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_core::{bounded_time, bounded_tokens};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::engine::Engine;

/// Identifies a placement request across all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PlacementId {
    /// Incarnation of the requesting node.
    pub node: u64,
    /// Sequence number at that node.
    pub number: u64,
}

/// A request that was running on a target when that target crashed. It may be the cause, or a
/// bystander.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Whether it must not share an engine with another such suspect, because one more crash may
    /// quarantine it.
    pub needs_isolation: bool,
}

/// Priority of requests whose route and client account state none; the most urgent one.
pub const DEFAULT_PRIORITY: u8 = 0;

/// Request to place a stream on engines.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// Identifier of the placement request.
    pub id: PlacementId,
    /// Client account that sent the request.
    pub account: ClientAccount,
    /// Failure domain of the node that will relay the answer.
    pub domain: FailureDomain,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Expected length of the answer, in tokens.
    pub answer_tokens: u64,
    /// Time from which the first event counts as late.
    pub first_event_by: Instant,
    /// Longest acceptable pause between events.
    pub pause: Duration,
    /// Time at which the caller gives up if it has received no event.
    pub give_up_at: Instant,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
    /// Targets on which an earlier attempt failed; they are not used again.
    pub exclude: Vec<HostName>,
    /// Set if a target has crashed while it ran this request.
    pub suspect: Option<Suspect>,
    /// Priority among the requests of the service; 0 is the most urgent.
    pub priority: u8,
}

/// Time to decode one token, in milliseconds: one step of an engine with a full batch.
const DECODE_MS_PER_TOKEN: f64 = 1.3;

/// Upper bound for the expected decode time. Callers often overestimate the length of the answer by
/// far, and no request is refused for that.
const MAX_DECODE_TIME: Duration = Duration::from_millis(2500);

impl PlacementRequest {
    /// Returns whether the engine must not be used because another suspect runs there.
    ///
    /// After a crash the streams of an engine move to another engine together, and their callers
    /// retry together. Without this rule, twelve harmless requests shared an engine with the
    /// crashing one three times in a row and were taken for the cause.
    pub(super) fn must_avoid(&self, now: Instant, engine: &Engine) -> bool {
        self.suspect.is_some_and(|s| s.needs_isolation) && engine.is_isolated(now)
    }

    /// Expected time from the first event to the end of the answer.
    pub(super) fn decode_time(&self) -> Duration {
        let expected =
            bounded_time::saturating_millis(self.answer_tokens as f64 * DECODE_MS_PER_TOKEN);
        expected.min(MAX_DECODE_TIME)
    }
}

/// Decision about a placement request.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementDecision {
    /// The stream has been placed and can be sent now.
    Granted(PlacementGrant),
    /// The request was refused and did not run.
    Refused {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// The engines on which a stream was placed.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementGrant {
    /// Engine that receives the request and decodes the answer.
    pub lead: HostName,
    /// Engines that each prefill a part of the prompt.
    pub helpers: Vec<HostName>,
    /// Memory to reserve on each helper before the request is sent, in tokens; 0 for none.
    pub helper_memory_tokens: u64,
    /// Expected time to the first event.
    pub first_event_in: Duration,
}

/// How a stream or a placement request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamOutcome {
    /// The answer is complete.
    Done,
    /// The caller disconnected, or the placement request was withdrawn.
    Cancelled,
    /// A target declined the stream.
    TargetRefused(HostName),
    /// A target rejected the stream and asked the node to back off.
    TargetBacksOff {
        /// The target.
        target: HostName,
        /// Duration of the back-off.
        #[serde(deserialize_with = "bounded_time::deserialize")]
        time: Duration,
    },
    /// A target broke the connection or stopped responding.
    TargetFailed(HostName),
}

/// A stream that a node relays, as reported to a new owner of the pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningStream {
    /// Identifier of the placement request.
    pub id: PlacementId,
    /// Engine that decodes the answer.
    pub lead: HostName,
    /// Engines that each prefill a part of the prompt.
    pub helpers: Vec<HostName>,
    /// Memory held on each helper, in tokens.
    #[serde(deserialize_with = "bounded_tokens::deserialize")]
    pub helper_memory_tokens: u64,
    /// Length of the prompt, in tokens.
    #[serde(deserialize_with = "bounded_tokens::deserialize")]
    pub prompt_tokens: u64,
    /// Expected length of the answer, in tokens.
    #[serde(deserialize_with = "bounded_tokens::deserialize")]
    pub answer_tokens: u64,
    /// Longest acceptable pause between events.
    #[serde(deserialize_with = "bounded_time::deserialize")]
    pub pause: Duration,
    /// Whether the first event has arrived.
    pub is_decoding: bool,
    /// Expected time until the first event; zero if it has arrived or is overdue.
    #[serde(deserialize_with = "bounded_time::deserialize")]
    pub first_event_in: Duration,
    /// Set if a target has crashed while it ran this request.
    pub suspect: Option<Suspect>,
}
