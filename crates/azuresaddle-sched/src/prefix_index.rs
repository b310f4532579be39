//! Index of a target's prefix cache, built from events that may arrive late or get lost.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

/// Maximum number of blocks indexed per target; each has 1024 tokens.
const MAX_BLOCKS: usize = 4096;

/// A change of a target's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CacheEvent {
    /// Sequence number; consecutive unless events were lost.
    pub sequence: u64,
    /// Chained hash of the block.
    pub block: u64,
    /// What happened to the block.
    pub kind: CacheEventKind,
}

/// What happened to a cached block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheEventKind {
    /// The block is cached now.
    Stored,
    /// The block is no longer cached.
    Evicted,
}

/// Bounded index of the blocks in one target's prefix cache.
///
/// A gap in the events clears the index until the next full listing: a false hit costs an unplanned
/// prefill, a missed hit only the saving.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    blocks: HashMap<u64, u64>,
    order: VecDeque<(u64, u64)>,
    stamp: u64,
    next_sequence: Option<u64>,
    stale: bool,
}

impl PrefixIndex {
    /// Whether a full listing of the cache is needed.
    pub fn is_stale(&self) -> bool {
        self.stale
    }

    /// Replaces the index by a full listing, valid up to and including `sequence`.
    pub fn replace(&mut self, sequence: u64, blocks: impl IntoIterator<Item = u64>) {
        self.clear();
        self.stale = false;
        self.next_sequence = Some(sequence.saturating_add(1));
        for block in blocks {
            self.store(block);
        }
    }

    /// Applies an event; old events are ignored, a gap makes the index stale.
    pub fn apply(&mut self, event: CacheEvent) {
        if self.stale {
            return;
        }
        match self.next_sequence {
            Some(expected) if event.sequence < expected => return,
            Some(expected) if event.sequence > expected => {
                self.clear();
                self.stale = true;
                return;
            }
            _ => {}
        }
        self.next_sequence = Some(event.sequence.saturating_add(1));
        match event.kind {
            CacheEventKind::Stored => self.store(event.block),
            CacheEventKind::Evicted => {
                self.blocks.remove(&event.block);
            }
        }
    }

    /// Number of leading blocks of a prompt that the target has cached.
    pub fn cached_blocks(&self, prefix: &[u64]) -> usize {
        // Hashes are chained, so a hit implies all earlier blocks; search from the end for the
        // longest match.
        prefix
            .iter()
            .rposition(|block| self.blocks.contains_key(block))
            .map_or(0, |last| last + 1)
    }

    fn clear(&mut self) {
        self.blocks.clear();
        self.order.clear();
    }

    fn store(&mut self, block: u64) {
        self.stamp += 1;
        self.blocks.insert(block, self.stamp);
        self.order.push_back((block, self.stamp));
        while self.blocks.len() > MAX_BLOCKS || self.order.len() > 2 * MAX_BLOCKS {
            let Some((oldest, stamp)) = self.order.pop_front() else {
                return;
            };
            if self.blocks.get(&oldest) == Some(&stamp) {
                self.blocks.remove(&oldest);
            }
        }
    }
}
