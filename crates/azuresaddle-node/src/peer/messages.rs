//! Messages between nodes.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::{Grant, Outcome, PoolDigest, Refusal};
use serde::{Deserialize, Serialize};

/// Asks the owner of a pool for a reservation. Asking again is idempotent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReserveRequest {
    /// The pool.
    pub pool: PoolId,
    /// The attempt.
    pub stream: StreamId,
    /// The node that asks and will relay the answer.
    pub node: HostName,
    /// The client account.
    pub account: ClientAccount,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub max_tokens: u64,
    /// Chained hashes of the prompt's leading blocks.
    pub prefix: Vec<u64>,
    /// Priority from the rule.
    pub priority: i8,
    /// First-token target from the rule.
    pub first_token_target: Duration,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Weight of the account.
    pub weight: f64,
    /// Limit of the account's requests in flight.
    pub max_in_flight: Option<u32>,
    /// Limit of the account's prompt tokens a second.
    pub max_tokens_per_second: Option<f64>,
    /// Targets where earlier attempts failed.
    pub exclude: Vec<HostName>,
}

/// Answer of an owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ReserveReply {
    /// The request may be sent now.
    Reserved {
        /// Where to.
        grant: Grant,
        /// Fencing number to send along.
        epoch: Epoch,
    },
    /// The request has its final answer.
    Refused(Refusal),
    /// The request waits; ask again.
    Pending,
    /// This node does not own the pool, or not yet.
    NotOwner,
}

/// What happened to an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The pool.
    pub pool: PoolId,
    /// The attempt.
    pub stream: StreamId,
    /// What happened.
    pub kind: ReportKind,
}

/// What happened to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportKind {
    /// The first token came.
    FirstToken,
    /// It is known to have ended.
    Ended(Outcome),
    /// It failed or is no longer wanted, and the target may still hold its memory.
    Abandoned {
        /// Whether the target failed it.
        target_failed: bool,
    },
}

/// A node relays an answer that another node began.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TakeOver {
    /// The pool.
    pub pool: PoolId,
    /// The attempt.
    pub stream: StreamId,
    /// The node that relays it now.
    pub node: HostName,
}

/// Sign of life of a node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The node.
    pub node: HostName,
    /// Version of the rules in force there.
    pub rules: RulesVersion,
    /// Whether the node can reach the store.
    pub store_reachable: bool,
    /// Attempts in the receiver's pools that the node relays or waits for.
    pub streams: Vec<StreamId>,
}

/// Answer to a heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Version of the rules in force at the receiver.
    pub rules: RulesVersion,
    /// Whether the receiver can reach the store.
    pub store_reachable: bool,
    /// Whether the receiver is about to stop.
    pub stopping: bool,
    /// Pools that the receiver owns.
    pub digests: Vec<(PoolDigest, Epoch)>,
}
