//! Datagrams between nodes.

use std::net::{Ipv4Addr, SocketAddr};

use azuresaddle_platform::StorePosition;
use serde::{Deserialize, Serialize};

use crate::quarantine::CrashUpdate;
use crate::signals::SignalUpdate;

/// Most bytes of a datagram; below the usual limit of an unfragmented one.
pub(super) const MAX_BYTES: usize = 1400;

/// Most nodes whose whole state is in a heartbeat; each takes at most 62 bytes.
pub(super) const MAX_FULL_STATES: usize = 4;

/// Most heartbeat digests in a heartbeat; each takes at most 13 bytes. With the whole state of a few
/// nodes in their stead, nodes of a large fleet miss each other.
pub(super) const MAX_DIGESTS: usize = 84;

/// Most nodes whose whole state one datagram asks for or answers with.
pub(super) const MAX_REQUESTED_STATES: usize = 28;

/// What a node says of itself, and others pass on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct MemberState {
    /// Address of its host.
    pub(super) ip: Ipv4Addr,
    /// Random number of its process.
    pub(super) incarnation: u64,
    /// Grows with each heartbeat of the process.
    pub(super) counter: u32,
    /// Unix time of its start, in milliseconds; orders nodes, and is never compared to a clock.
    pub(super) started_ms: u64,
    /// Share of a core that its host offers, in thousandths.
    pub(super) cpu_milli: u32,
    /// Hash of the name of its failure domain.
    pub(super) domain: u16,
    /// Port where callers connect.
    pub(super) callers_port: u16,
    /// Version of the configuration in force; 0 for none.
    pub(super) configuration: u64,
    /// Position of the last change of targets that it knows.
    pub(super) targets: StorePosition,
    /// Hash of the targets that it knows.
    pub(super) targets_hash: u32,
    /// Whether it has served for longer than a fleet takes to start.
    pub(super) is_settled: bool,
    /// Whether it is stopping.
    pub(super) is_leaving: bool,
    /// Whether it follows the store and the store answers.
    pub(super) is_watching: bool,
    /// Term of its claim to place streams; 0 for none. The highest one among live nodes counts.
    pub(super) term: u32,
}

impl MemberState {
    /// Where callers connect.
    pub(super) fn callers(&self) -> SocketAddr {
        SocketAddr::from((self.ip, self.callers_port))
    }

    /// Whether callers may be sent there.
    pub(super) fn takes_callers(&self) -> bool {
        !self.is_leaving && self.configuration != 0
    }
}

/// A heartbeat of one node, with the state of others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Heartbeat {
    pub(super) from: MemberState,
    /// Nodes that changed last, and a few by chance.
    pub(super) others: Vec<MemberState>,
    /// Further nodes that were heard of last.
    pub(super) digests: Vec<HeartbeatDigest>,
}

/// The latest heartbeat of a node, as far as it takes to know that the node lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct HeartbeatDigest {
    pub(super) ip: Ipv4Addr,
    /// Low bits of the incarnation.
    pub(super) process: u16,
    pub(super) counter: u32,
    /// What the sender knows of its state.
    pub(super) state: StateTag,
}

/// Short form of the parts of a node's state that others act on at once: whether it takes callers, and the
/// term of its claim to place. Another one than is known leads to a question for the whole state: among
/// hundreds of nodes that have just started, a claim would be unknown to some for seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct StateTag(u8);

impl StateTag {
    fn new(state: &MemberState) -> Self {
        let term = (state.term % 128) as u8;
        Self(term << 1 | u8::from(state.takes_callers()))
    }

    /// Whether the state of a node is this one.
    pub(super) fn matches(self, state: &MemberState) -> bool {
        self == Self::new(state)
    }
}

impl HeartbeatDigest {
    /// The digest of a node whose heartbeat of that number was heard of.
    pub(super) fn new(state: &MemberState, counter: u32) -> Self {
        Self {
            ip: state.ip,
            process: state.incarnation as u16,
            counter,
            state: StateTag::new(state),
        }
    }
}

/// What nodes send each other as datagrams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum Datagram {
    Heartbeat(Heartbeat),
    /// Asks for the whole state of hosts of which only heartbeat digests are known.
    StateRequest(Vec<Ipv4Addr>),
    /// The answer to that.
    StateResponse(Vec<MemberState>),
    /// Tells the node that would succeed that the owner does not answer.
    Vote(Vote),
    /// Tells of requests that crash their targets.
    Crashes(Vec<CrashUpdate>),
    /// Signals of targets.
    Signals(Vec<SignalUpdate>),
}

/// One node's vote against an owner that does not answer it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Vote {
    /// Incarnation of the node that says so.
    pub(super) voter: u64,
    /// Incarnation of the owner.
    pub(super) owner: u64,
}

impl Datagram {
    pub(super) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a datagram serializes")
    }

    /// Reads a datagram; `None` where it can't be read.
    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
