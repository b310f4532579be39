//! Messages between nodes.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_core::{bounded_time, bounded_tokens};
use azuresaddle_sched::{Grant, Outcome, PoolDigest, Refusal};
use serde::{Deserialize, Serialize};

/// Requests a reservation from the owner of a pool; a repeated request is idempotent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReserveRequest {
    /// The pool.
    pub pool: PoolId,
    /// The attempt.
    pub stream: StreamId,
    /// The requesting node, which will relay the answer.
    pub node: HostName,
    /// The client account.
    pub account: ClientAccount,
    /// Length of the prompt, in tokens.
    #[serde(deserialize_with = "bounded_tokens::deserialize")]
    pub prompt_tokens: u64,
    /// Maximum length of the answer, in tokens.
    #[serde(deserialize_with = "bounded_tokens::deserialize")]
    pub max_tokens: u64,
    /// Chained hashes of the prompt's leading blocks.
    pub prefix: Vec<u64>,
    /// Priority from the rule.
    pub priority: i8,
    /// Time to the first token that the rule aims for.
    #[serde(deserialize_with = "bounded_time::deserialize")]
    pub first_token_target: Duration,
    /// Time left until the deadline.
    #[serde(deserialize_with = "bounded_time::deserialize")]
    pub time_left: Duration,
    /// Weight of the account in fair sharing.
    pub weight: f64,
    /// Limit of the account's requests in flight.
    pub max_in_flight: Option<u32>,
    /// Limit of the account's prompt tokens per second.
    pub max_tokens_per_second: Option<f64>,
    /// Targets where earlier attempts failed.
    pub exclude: Vec<HostName>,
}

/// Reply of an owner to a [`ReserveRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ReserveReply {
    /// The request may be sent now.
    Reserved {
        /// The reserved targets and memory.
        grant: Grant,
        /// Epoch for the fencing token that is sent to the targets.
        epoch: Epoch,
    },
    /// The request is refused; this is final.
    Refused(Refusal),
    /// The request is still waiting; repeat the call.
    Pending,
    /// This node does not own the pool, or is not ready to make decisions in it.
    NotOwner,
}

/// Reports an event of an attempt to the owner of its pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The pool.
    pub pool: PoolId,
    /// The attempt.
    pub stream: StreamId,
    /// The event.
    pub kind: ReportKind,
}

/// Event of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportKind {
    /// The first token was received.
    FirstToken,
    /// It is known to have ended.
    Ended(Outcome),
    /// It failed or is no longer wanted, and the target may still hold its memory.
    Abandoned {
        /// Whether the target is at fault.
        target_failed: bool,
    },
}

/// Reports that a node now relays an answer that another node started.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TakeOver {
    /// The pool.
    pub pool: PoolId,
    /// The attempt.
    pub stream: StreamId,
    /// The node that relays it now.
    pub node: HostName,
}

/// Sent periodically by each node to every other node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sending node.
    pub node: HostName,
    /// Version of the rules in force on the sender.
    pub rules: RulesVersion,
    /// Whether the node can reach the store.
    pub store_reachable: bool,
    /// Attempts in the receiver's pools that the node relays or waits for.
    pub streams: Vec<StreamId>,
}

/// Answer to a heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Version of the rules in force on the receiver.
    pub rules: RulesVersion,
    /// Whether the receiver can reach the store.
    pub store_reachable: bool,
    /// Whether the receiver is about to stop.
    pub stopping: bool,
    /// Digests of the pools that the receiver owns, each with the epoch of the ownership.
    pub digests: Vec<(PoolDigest, Epoch)>,
}
