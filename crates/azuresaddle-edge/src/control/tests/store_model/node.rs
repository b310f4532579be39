//! What a target says of itself, and what a node knows.

use std::collections::BTreeSet;

use azuresaddle_platform::StorePosition;
use tokio::time::Instant;

use crate::control::registry::Registry;
use crate::control::start_gate::StartGate;

/// What a target says of itself.
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
    /// The latest configuration that it has read, in force or not.
    pub(super) latest_read_version: u64,
    pub(super) started_at: Instant,
    /// Position up to which it has followed the store.
    pub(super) read_up_to: Option<StorePosition>,
    pub(super) is_lost: bool,
    pub(super) disconnected_until: u64,
    /// Starts of targets that it knows to drain.
    pub(super) drained: BTreeSet<(String, u64)>,
    /// Since when it differs from a node that has heard of the same changes.
    pub(super) differs_since: Option<u64>,
    /// Fetches of everything, and of changes, from other nodes.
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
            is_lost: false,
            disconnected_until: 0,
            drained: BTreeSet::new(),
            differs_since: None,
            fetches: (0, 0),
        }
    }
}

/// What is left out, to see that the check needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Without {
    Nothing,
    /// All positions seem to be of one copy of the store.
    Eras,
    /// All entries of a target seem to have the same number.
    Numbers,
}
