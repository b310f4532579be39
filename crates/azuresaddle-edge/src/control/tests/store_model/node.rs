//! Models of a target and of a node.

use std::collections::BTreeSet;

use azuresaddle_platform::StorePosition;
use tokio::time::Instant;

use crate::control::registry::Registry;
use crate::control::start_gate::StartGate;

/// A target's own state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Target {
    pub(super) born: u64,
    pub(super) number: u64,
    pub(super) state: Option<&'static str>,
}

pub(super) struct Node {
    pub(super) registry: Registry,
    pub(super) gate: StartGate,
    pub(super) configuration: u64,
    /// The latest configuration version that the node has read, in force or not.
    pub(super) latest_read_version: u64,
    pub(super) started_at: Instant,
    /// Position up to which it has read the store.
    pub(super) read_up_to: Option<StorePosition>,
    pub(super) is_store_unreachable: bool,
    pub(super) disconnected_until: u64,
    /// Starts of targets that it knows to be draining.
    pub(super) drained: BTreeSet<(String, u64)>,
    /// Step since which it has differed from a node at the same position.
    pub(super) differs_since: Option<u64>,
    /// Numbers of full and of incremental fetches from other nodes.
    pub(super) fetches: (usize, usize),
}

impl Node {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            registry: Registry::default(),
            gate: StartGate::default(),
            configuration: 0,
            latest_read_version: 0,
            started_at: now,
            read_up_to: None,
            is_store_unreachable: false,
            disconnected_until: 0,
            drained: BTreeSet::new(),
            differs_since: None,
            fetches: (0, 0),
        }
    }
}

/// A mechanism to disable, to verify that the test detects its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Without {
    Nothing,
    /// All positions appear to be of the same era.
    Eras,
    /// All entries of a target appear to have the same number.
    Numbers,
}
