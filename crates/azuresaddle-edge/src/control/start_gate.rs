//! Decides when a node that has just started begins to serve.
//!
//! Guards against a node that starts while the store has been rolled back to an older copy. The
//! configuration and the targets that it reads there may be outdated, which the other nodes know.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::actor::Control;
use super::read_plan::FirstListing;

/// Time after the start of the process that other nodes get to make themselves known: a round trip
/// to the seeds, with one lost datagram.
const DISCOVERY_WAIT: Duration = Duration::from_millis(150);

/// Time after the start of the process for which it waits for the targets that other nodes know.
/// After a longer wait its callers would be better served with what it has.
const SYNC_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a node with a configuration counts as settled, so that starting nodes fetch
/// everything from it. Nodes that start together have nothing to offer each other, and hundreds of
/// them would all fetch from the first one.
const SETTLED_AFTER: Duration = Duration::from_secs(3);

/// State of a starting node: whether it may activate its first configuration.
#[derive(Debug, Default)]
pub(super) struct StartGate {
    /// Whether it has fetched all targets from a node that has been serving for a while.
    pub(super) is_synced: bool,
    /// Whether it has fetched all targets from any node.
    pub(super) has_fetched_all: bool,
    /// The latest deferred configuration, with its version.
    candidate: Option<(u64, Vec<u8>)>,
    /// When the first configuration came into force.
    pub(super) serving_since: Option<Instant>,
}

/// What a starting node knows of the other nodes.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerView {
    /// Latest configuration version in force on another node; 0 if there is none.
    pub(super) newest: u64,
    /// Whether one of them has been serving for a while, so that it knows what the store may have
    /// lost.
    pub(super) has_settled: bool,
}

impl StartGate {
    /// Returns whether a configuration may be the first in force, in a process of the given age: it
    /// must not be older than that of any other node, and the node must know which targets have
    /// left.
    pub(super) fn admits(&self, age: Duration, view: PeerView, version: u64) -> bool {
        let has_waited = if view.has_settled {
            self.is_synced || age >= SYNC_TIMEOUT
        } else {
            age >= DISCOVERY_WAIT
        };
        has_waited && version >= view.newest
    }
}

impl<N: Network> Control<N> {
    /// Returns whether this node may activate its first configuration.
    pub(super) fn may_start_serving(&self, now: Instant, version: u64) -> bool {
        let age = now.saturating_duration_since(self.members.started_at);
        let view = PeerView {
            newest: self.members.newest_configuration(now),
            has_settled: self.members.has_settled(now),
        };
        self.start_gate.admits(age, view, version)
    }

    /// Announces to other nodes once this node has been serving for a while.
    pub(super) fn update_settled(&mut self, now: Instant) {
        let Some(serving_since) = self.start_gate.serving_since else {
            return;
        };
        let is_settled = now.saturating_duration_since(serving_since) >= SETTLED_AFTER;
        self.members.update_own(|own| own.is_settled = is_settled);
    }

    /// Keeps a configuration that may not come into force yet, unless a later one is deferred
    /// already.
    pub(super) fn defer_configuration(&mut self, version: u64, json: Vec<u8>) {
        let waiting = self.start_gate.candidate.as_ref();
        if waiting.is_none_or(|(known, _)| *known < version) {
            self.start_gate.candidate = Some((version, json));
        }
    }

    /// Returns whether a configuration is deferred.
    pub(super) fn has_deferred_configuration(&self) -> bool {
        self.start_gate.candidate.is_some()
    }

    /// When to check a deferred configuration again if no message arrives earlier.
    pub(super) fn discovery_ends(&self) -> Instant {
        self.members.started_at + DISCOVERY_WAIT
    }

    /// Checks the deferred configuration again; true if it is in force now.
    pub(super) fn retry_deferred_configuration(&mut self) -> bool {
        let candidate = self.start_gate.candidate.take();
        candidate.is_some_and(|(_, json)| self.on_configuration(json, "the store"))
    }

    /// Returns whether this node knows all targets, either from the store or from another node.
    pub(super) fn has_all_targets(&self) -> bool {
        let gate = &self.start_gate;
        self.has_listed_store || gate.is_synced || gate.has_fetched_all
    }

    /// Returns who reads the content of the store for this node.
    pub(super) fn first_listing(&self, now: Instant) -> FirstListing {
        let age = now.saturating_duration_since(self.members.started_at);
        if self.has_all_targets() {
            FirstListing::Provided
        } else if age < SYNC_TIMEOUT && self.members.has_provider(now) {
            FirstListing::Expected
        } else {
            FirstListing::Own
        }
    }

    /// Returns whether this node should fetch everything from a settled node.
    pub(super) fn needs_sync(&self) -> bool {
        self.configuration.is_none() && !self.start_gate.is_synced
    }
}
