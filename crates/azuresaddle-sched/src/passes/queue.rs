//! Asks that wait for engines.

use std::collections::{BTreeMap, HashMap};

use tokio::time::Instant;

use super::ask::{AskId, PassAsk};

/// Order of waiting asks: their own order, then arrival.
type Rank = (u64, u64);

/// A waiting ask.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) ask: PassAsk,
    /// Time to read the prompt on one engine, in milliseconds.
    pub(super) read_ms: f64,
    /// Place in the queue, lowest first, in milliseconds of reading.
    pub(super) order: f64,
    pub(super) asked_at: Instant,
}

/// Waiting asks in their order.
#[derive(Debug, Default)]
pub(super) struct Queue {
    by_rank: BTreeMap<Rank, Waiting>,
    ranks: HashMap<AskId, Rank>,
    arrivals: u64,
}

impl Queue {
    pub(super) fn push(&mut self, waiting: Waiting) {
        self.arrivals += 1;
        // Microseconds keep the order of prompts that differ by a few tokens.
        let rank = ((waiting.order * 1000.0) as u64, self.arrivals);
        self.ranks.insert(waiting.ask.id, rank);
        self.by_rank.insert(rank, waiting);
    }

    pub(super) fn remove(&mut self, id: AskId) -> Option<Waiting> {
        let rank = self.ranks.remove(&id)?;
        let waiting = self.by_rank.remove(&rank)?;
        Some(waiting)
    }

    pub(super) fn contains(&self, id: AskId) -> bool {
        self.ranks.contains_key(&id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.by_rank.values()
    }

    pub(super) fn len(&self) -> usize {
        self.by_rank.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_rank.is_empty()
    }

    pub(super) fn retain_nodes(&mut self, mut keep: impl FnMut(u64) -> bool) {
        let gone: Vec<AskId> = self
            .ranks
            .keys()
            .filter(|id| !keep(id.node))
            .copied()
            .collect();
        for id in gone {
            self.remove(id);
        }
    }
}
