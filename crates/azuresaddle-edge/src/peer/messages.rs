//! Messages between nodes.

use std::net::SocketAddr;
use std::time::Duration;

use azuresaddle_core::deployment::RateLimit;
use azuresaddle_core::prelude::*;
use azuresaddle_platform::StorePosition;
use azuresaddle_sched::passes::{PlacementId, RunningStream, StreamOutcome, Suspect};
use serde::{Deserialize, Serialize};

use crate::control::TargetUpdate;

/// Asks the owner to place a stream. Times are relative, since clocks differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct PlaceMessage {
    pub(crate) id: PlacementId,
    pub(crate) service: String,
    pub(crate) account: ClientAccount,
    pub(crate) domain: FailureDomain,
    pub(crate) prompt_tokens: u64,
    pub(crate) answer_tokens: u64,
    /// Time left until the first event is late.
    pub(crate) first_event_in: Duration,
    pub(crate) pause: Duration,
    /// Time left until the caller gives up if no event has come.
    pub(crate) give_up_in: Duration,
    /// Time left until the request must have ended.
    pub(crate) time_left: Duration,
    pub(crate) exclude: Vec<HostName>,
    /// The request, where a target has ended while it had it.
    pub(crate) suspect: Option<Suspect>,
    /// Whether another node named this one as the owner; it is then decided here, so that two nodes that
    /// each take the other for the owner don't send it to and fro.
    pub(crate) is_redirected: bool,
}

/// The owner's decision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum PlaceReply {
    /// Send it now.
    Granted {
        lead: HostName,
        helpers: Vec<HostName>,
        helper_memory_tokens: u64,
        first_event_in: Duration,
    },
    /// Not run, and never will be.
    Refused { retry_after: Duration },
    /// The node does not know the service; ask again.
    NoDecision,
    /// Another node places streams; ask there.
    Redirect {
        /// Where nodes call it.
        peer: SocketAddr,
    },
}

/// Asks the owner whether a request may pass to a plain target that limits its rate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct PermitRequest {
    pub(crate) target: HostName,
    /// The limit that the asking node knows, in case the owner has not heard of any.
    pub(crate) limit: RateLimit,
}

/// The owner's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PermitReply {
    /// One request may pass now.
    Granted,
    /// None may pass for that time.
    Denied { wait: Duration },
    /// Another node counts the requests.
    NotOwner,
}

/// What happened to a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum ReportKind {
    /// Its first event came.
    FirstEvent,
    /// It ended.
    Ended(StreamOutcome),
}

/// News of a stream for the owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct StreamReport {
    pub(crate) id: PlacementId,
    pub(crate) service: String,
    pub(crate) kind: ReportKind,
}

/// All streams of a node, so that the owner's ledger matches.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct SyncMessage {
    pub(crate) node: u64,
    /// Running streams by service.
    pub(crate) running: Vec<(String, RunningStream)>,
    /// Asks without a decision.
    pub(crate) waiting: Vec<PlacementId>,
    /// Asks with a higher number began after this message was made.
    pub(crate) up_to: u64,
}

/// What a node knows from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PeerUpdate {
    /// The configuration, where it is newer than the asking node's.
    pub(crate) configuration: Option<Vec<u8>>,
    pub(crate) targets: Vec<TargetUpdate>,
    /// Position of the latest change of targets that the node knows.
    pub(crate) position: StorePosition,
}
