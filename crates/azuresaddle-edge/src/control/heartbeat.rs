//! Datagrams that nodes exchange, and their encoding.

use std::net::{Ipv4Addr, SocketAddr};

use azuresaddle_platform::StorePosition;
use azuresaddle_sched::target_health::HealthUpdate;
use serde::{Deserialize, Serialize};

use super::host_load_update::HostLoadUpdate;
use crate::quarantine::CrashUpdate;
use crate::signals::SignalUpdate;

/// Largest datagram, in bytes; stays below the usual limit for unfragmented packets.
pub(super) const MAX_BYTES: usize = 1400;

/// Maximum number of full node states in a heartbeat; each takes at most 62 bytes.
pub(super) const MAX_FULL_STATES: usize = 4;

/// Maximum number of digests in a heartbeat; each takes at most 13 bytes. Sending the full state of
/// a few nodes instead of digests makes nodes of a large fleet take each other for failed.
pub(super) const MAX_DIGESTS: usize = 84;

/// Maximum number of full node states that one datagram requests or returns.
pub(super) const MAX_REQUESTED_STATES: usize = 28;

/// State that a node announces about itself and that other nodes relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct MemberState {
    /// IP address of the node's host.
    pub(super) ip: Ipv4Addr,
    /// Random identifier of the process.
    pub(super) incarnation: u64,
    /// Heartbeat counter; incremented with each heartbeat of the process.
    pub(super) counter: u32,
    /// Unix time at which the process started, in milliseconds. Only used to order nodes; never
    /// compared with a clock.
    pub(super) started_ms: u64,
    /// CPU share of the host, in thousandths of a core.
    pub(super) cpu_milli: u32,
    /// Hash of the failure domain's name.
    pub(super) domain: u16,
    /// Port on which the node accepts callers.
    pub(super) callers_port: u16,
    /// Version of the configuration in force; 0 if there is none.
    pub(super) configuration: u64,
    /// Store position of the latest target change that the node knows; the default until it knows
    /// all targets.
    pub(super) targets: StorePosition,
    /// Hash of the targets that the node knows.
    pub(super) targets_hash: u32,
    /// Whether the node has been serving for longer than a fleet takes to start.
    pub(super) is_settled: bool,
    /// Whether the node is shutting down.
    pub(super) is_leaving: bool,
    /// Whether the node watches the store and receives answers from it.
    pub(super) is_watching: bool,
    /// Term of the node's ownership claim; 0 if it has claimed none. The highest term among live
    /// nodes determines the owner.
    pub(super) term: u32,
}

impl MemberState {
    /// Address on which the node accepts callers.
    pub(super) fn callers(&self) -> SocketAddr {
        SocketAddr::from((self.ip, self.callers_port))
    }

    /// Whether the node can provide the configuration and all targets to others.
    pub(super) fn has_all_targets(&self) -> bool {
        self.configuration != 0 && self.targets != StorePosition::default()
    }

    /// Whether the node accepts callers: it has a configuration and is not shutting down.
    pub(super) fn takes_callers(&self) -> bool {
        !self.is_leaving && self.configuration != 0
    }
}

/// A node's heartbeat, with the state of other nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Heartbeat {
    pub(super) from: MemberState,
    /// Full states of the most recently changed nodes and of a few random ones.
    pub(super) others: Vec<MemberState>,
    /// Digests of the nodes that were heard from most recently.
    pub(super) digests: Vec<HeartbeatDigest>,
}

/// Compact record of a node's latest heartbeat, sufficient for failure detection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct HeartbeatDigest {
    pub(super) ip: Ipv4Addr,
    /// Low 16 bits of the incarnation.
    pub(super) process: u16,
    pub(super) counter: u32,
    /// Tag of the state that the sender knows of the node.
    pub(super) state: StateTag,
}

/// Compact form of the state that other nodes act on at once: whether the node accepts callers, and
/// the term of its claim.
///
/// A receiver that sees an unexpected tag requests the full state. Without the tag, some nodes of a
/// fleet in which hundreds have just started would miss a claim for seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct StateTag(u8);

impl StateTag {
    fn new(state: &MemberState) -> Self {
        let term = (state.term % 128) as u8;
        Self(term << 1 | u8::from(state.takes_callers()))
    }

    /// Returns whether the tag matches a node's state.
    pub(super) fn matches(self, state: &MemberState) -> bool {
        self == Self::new(state)
    }
}

impl HeartbeatDigest {
    /// Creates the digest of a node whose heartbeat with the given counter has been received.
    pub(super) fn new(state: &MemberState, counter: u32) -> Self {
        Self {
            ip: state.ip,
            process: state.incarnation as u16,
            counter,
            state: StateTag::new(state),
        }
    }
}

/// A datagram between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum Datagram {
    Heartbeat(Heartbeat),
    /// Requests the full state of hosts that the sender knows only by digest.
    StateRequest(Vec<Ipv4Addr>),
    /// Response to a `StateRequest`.
    StateResponse(Vec<MemberState>),
    /// Reports an unresponsive owner to the node that would succeed it.
    Vote(Vote),
    /// Updates about requests that crash their targets.
    Crashes(Vec<CrashUpdate>),
    /// Draining and rate-limit signals of targets.
    Signals(Vec<SignalUpdate>),
    /// What nodes observed of plain targets.
    TargetHealth(Vec<HealthUpdate>),
    /// Load levels of hosts.
    HostLoad(Vec<HostLoadUpdate>),
}

/// A node's vote to replace an owner that does not answer it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Vote {
    /// Incarnation of the voting node.
    pub(super) voter: u64,
    /// Incarnation of the unresponsive owner.
    pub(super) owner: u64,
}

impl Datagram {
    pub(super) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("datagram must serialize")
    }

    /// Decodes a datagram; `None` if it is malformed.
    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
