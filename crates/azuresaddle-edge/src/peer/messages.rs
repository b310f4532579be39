//! Messages between nodes.

use std::net::SocketAddr;
use std::time::Duration;

use azuresaddle_core::deployment::RateLimit;
use azuresaddle_core::prelude::*;
use azuresaddle_core::{bounded_time, bounded_tokens};
use azuresaddle_platform::StorePosition;
use azuresaddle_sched::passes::{PlacementId, RunningStream, StreamOutcome, Suspect};
use serde::{Deserialize, Serialize};

use crate::control::{DomainDrain, TargetUpdate};

/// Requests the placement of a stream from the owner. Times are relative, since the nodes' clocks differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct PlaceMessage {
    pub(crate) id: PlacementId,
    pub(crate) service: String,
    pub(crate) account: ClientAccount,
    /// Failure domain of the requesting node.
    pub(crate) domain: FailureDomain,
    #[serde(deserialize_with = "bounded_tokens::deserialize")]
    pub(crate) prompt_tokens: u64,
    #[serde(deserialize_with = "bounded_tokens::deserialize")]
    pub(crate) answer_tokens: u64,
    /// Time left until the first event is late.
    #[serde(deserialize_with = "bounded_time::deserialize")]
    pub(crate) first_event_in: Duration,
    /// Longest time between two events.
    #[serde(deserialize_with = "bounded_time::deserialize")]
    pub(crate) pause: Duration,
    /// Time left until the caller gives up if it has received no event.
    #[serde(deserialize_with = "bounded_time::deserialize")]
    pub(crate) give_up_in: Duration,
    /// Time left until the answer must be complete.
    #[serde(deserialize_with = "bounded_time::deserialize")]
    pub(crate) time_left: Duration,
    /// Targets that must not be used, since an earlier attempt failed there.
    pub(crate) exclude: Vec<HostName>,
    /// Set if a target has crashed while it ran the request, which may be the cause.
    pub(crate) suspect: Option<Suspect>,
    /// Whether another node redirected the request to this one. The receiver then decides in any case, so that two
    /// nodes that each take the other for the owner don't redirect it forever.
    pub(crate) is_redirected: bool,
}

/// The answer to a [`PlaceMessage`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum PlaceReply {
    /// The stream may be sent to these engines now.
    Granted {
        lead: HostName,
        helpers: Vec<HostName>,
        #[serde(deserialize_with = "bounded_tokens::deserialize")]
        helper_memory_tokens: u64,
        #[serde(deserialize_with = "bounded_time::deserialize")]
        first_event_in: Duration,
    },
    /// The stream was not run and will not be.
    Refused {
        #[serde(deserialize_with = "bounded_time::deserialize")]
        retry_after: Duration,
    },
    /// No decision was made, for example because the node does not know the service yet; try again.
    NoDecision,
    /// Another node is the owner; send the request there.
    Redirect {
        /// Address of the owner for calls between nodes.
        peer: SocketAddr,
    },
}

/// Requests a permit from the owner to send one request to a plain target that has a rate limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct PermitRequest {
    pub(crate) target: HostName,
    /// The limit that the requesting node knows, in case the owner knows none.
    pub(crate) limit: RateLimit,
}

/// The answer to a [`PermitRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PermitReply {
    /// One request may be sent now.
    Granted,
    /// No request may be sent for the time `wait`.
    Denied {
        #[serde(deserialize_with = "bounded_time::deserialize")]
        wait: Duration,
    },
    /// The node does not count requests, since it is not the owner.
    NotOwner,
}

/// What happened to a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum ReportKind {
    /// It sent its first event.
    FirstEvent,
    /// It ended.
    Ended(StreamOutcome),
}

/// Reports an event of a stream to the owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct StreamReport {
    pub(crate) id: PlacementId,
    pub(crate) service: String,
    pub(crate) kind: ReportKind,
}

/// All streams of a node, from which the owner corrects its pools.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct SyncMessage {
    pub(crate) node: u64,
    /// Running streams by service.
    pub(crate) running: Vec<(String, RunningStream)>,
    /// Requests without a decision.
    pub(crate) waiting: Vec<PlacementId>,
    /// Highest request number when this message was made; later requests have higher numbers.
    pub(crate) up_to: u64,
}

/// What a node knows from the store, as an answer to another node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PeerUpdate {
    /// The configuration, if it is newer than the requesting node's.
    pub(crate) configuration: Option<Vec<u8>>,
    pub(crate) targets: Vec<TargetUpdate>,
    /// Store position of the latest change of targets or drained failure domains that the node knows; the default until
    /// it knows all of them.
    pub(crate) position: StorePosition,
}

/// What a node knows from the store, with the drained failure domains.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PeerState {
    pub(crate) update: PeerUpdate,
    pub(crate) domain_drains: Vec<DomainDrain>,
}

impl From<PeerUpdate> for PeerState {
    fn from(update: PeerUpdate) -> Self {
        Self {
            update,
            domain_drains: Vec::new(),
        }
    }
}
