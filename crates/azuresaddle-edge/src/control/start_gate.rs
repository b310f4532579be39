//! When a node that has just started begins to serve.
//!
//! Answers the pattern of a node that starts while the store has gone back to an older copy: what it reads there, a
//! configuration that is no longer in force and targets that have left, the others know to be old.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::actor::Control;

/// Time after its start that a node gives others to make themselves known: a round trip to its seeds, with a
/// datagram lost.
const DISCOVERY_WAIT: Duration = Duration::from_millis(150);

/// Time after its start for which a node waits for the targets that others know. Longer, its callers would be better
/// served by what it has.
const SYNC_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a node has a configuration in force before others ask it for everything when they start: nodes that
/// start together have nothing to tell each other, and hundreds would ask the first.
const SETTLED_AFTER: Duration = Duration::from_secs(3);

/// What a node holds back until it knows that nobody knows better.
#[derive(Debug, Default)]
pub(super) struct StartGate {
    /// Whether it has all that another node knew of the targets.
    pub(super) is_synced: bool,
    /// The latest configuration that it has read, by its version.
    candidate: Option<(u64, Vec<u8>)>,
    /// When the first configuration was in force.
    pub(super) serving_since: Option<Instant>,
}

/// What a node that starts knows of the others.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerView {
    /// The latest configuration that another node has in force; 0 for none.
    pub(super) newest: u64,
    /// Whether one of them has served for a while, so that it knows what the store may have forgotten.
    pub(super) has_settled: bool,
}

impl StartGate {
    /// Whether a configuration may be the first in force, in a process of some age: none that is older than another
    /// node's, and not without knowing which targets have left.
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
    /// Whether the first configuration may be in force here.
    pub(super) fn may_start_serving(&self, now: Instant, version: u64) -> bool {
        let age = now.saturating_duration_since(self.members.started_at);
        let view = PeerView {
            newest: self.members.newest_configuration(now),
            has_settled: self.members.has_settled(now),
        };
        self.start_gate.admits(age, view, version)
    }

    /// Tells others once this node has served for a while.
    pub(super) fn update_settled(&mut self, now: Instant) {
        let Some(serving_since) = self.start_gate.serving_since else {
            return;
        };
        let is_settled = now.saturating_duration_since(serving_since) >= SETTLED_AFTER;
        self.members.update_own(|own| own.is_settled = is_settled);
    }

    /// Keeps a configuration that may not be in force yet, unless a later one waits.
    pub(super) fn defer_configuration(&mut self, version: u64, json: Vec<u8>) {
        let waiting = self.start_gate.candidate.as_ref();
        if waiting.is_none_or(|(known, _)| *known < version) {
            self.start_gate.candidate = Some((version, json));
        }
    }

    /// Whether a configuration waits.
    pub(super) fn has_deferred_configuration(&self) -> bool {
        self.start_gate.candidate.is_some()
    }

    /// When what waits is to be looked at again, where nothing is heard meanwhile.
    pub(super) fn discovery_ends(&self) -> Instant {
        self.members.started_at + DISCOVERY_WAIT
    }

    /// Looks again at what waits; true where it is in force now.
    pub(super) fn retry_deferred_configuration(&mut self) -> bool {
        let candidate = self.start_gate.candidate.take();
        candidate.is_some_and(|(_, json)| self.on_configuration(json, "the store"))
    }

    /// Whether everything is to be asked of a node that has served before.
    pub(super) fn needs_sync(&self) -> bool {
        self.configuration.is_none() && !self.start_gate.is_synced
    }
}
