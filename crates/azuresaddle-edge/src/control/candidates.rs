//! Nodes among which the addresses for a caller are selected.

use std::time::Duration;

use azuresaddle_sched::addresses::{AddressCandidate, needs_selection};
use tokio::time::Instant;

use super::members::Members;
use crate::snapshot::address_candidates;

/// Interval at which changes of the candidates are published. In a fleet of a thousand nodes some node is late with its
/// heartbeats in many ticks, which would otherwise cost a snapshot each. Callers keep an answer for 3 s, so that
/// another second matters little.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The candidates as last checked.
#[derive(Debug)]
pub(super) struct Candidates {
    known: Vec<AddressCandidate>,
    checked_at: Instant,
}

impl Candidates {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            known: Vec::new(),
            checked_at: now,
        }
    }
}

impl Members {
    /// Whether callers get different addresses.
    pub(super) fn selects_addresses(&self) -> bool {
        needs_selection(&self.candidates.known)
    }

    /// Updates the nodes among which addresses are selected; true if the answers of callers may have changed.
    pub(super) fn update_candidates(&mut self, now: Instant) -> bool {
        if now.saturating_duration_since(self.candidates.checked_at) < CHECK_INTERVAL {
            return false;
        }
        self.candidates.checked_at = now;
        let (nodes, owner) = self.live_nodes(now);
        let mut candidates = address_candidates(&nodes, owner);
        candidates.sort_unstable_by_key(|n| n.incarnation);
        let known = std::mem::replace(&mut self.candidates.known, candidates);
        let selects = needs_selection(&self.candidates.known);
        let selected = needs_selection(&known);
        if selects != selected {
            tracing::info!(
                part = "control",
                nodes = self.candidates.known.len(),
                selects,
                "selection of addresses for each caller begins or ends"
            );
        }
        (selects || selected) && self.candidates.known != known
    }
}
