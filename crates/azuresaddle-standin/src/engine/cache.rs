//! Prefix cache of an engine, with least-recently-used eviction.

use std::collections::VecDeque;

use azuresaddle_sched::{CacheEvent, CacheEventKind};

/// Number of recent events kept for readers.
const MAX_EVENTS: usize = 4096;

/// Cached blocks, the most recently used last, and a log of recent changes.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    blocks: VecDeque<u64>,
    events: VecDeque<CacheEvent>,
    sequence: u64,
}

impl PrefixCache {
    /// Number of leading blocks of a prompt that are cached.
    pub(super) fn cached_prefix_blocks(&self, prefix: &[u64]) -> usize {
        let hit = |block: &&u64| self.blocks.contains(block);
        prefix.iter().take_while(hit).count()
    }

    /// Caches a prompt's blocks and evicts the least recently used ones beyond `capacity`.
    pub(super) fn store(&mut self, prefix: &[u64], capacity: usize) {
        for block in prefix {
            match self.blocks.iter().position(|known| known == block) {
                Some(at) => {
                    self.blocks.remove(at);
                }
                None => self.record(*block, CacheEventKind::Stored),
            }
            self.blocks.push_back(*block);
        }
        while self.blocks.len() > capacity {
            if let Some(oldest) = self.blocks.pop_front() {
                self.record(oldest, CacheEventKind::Evicted);
            }
        }
    }

    pub(super) fn sequence(&self) -> u64 {
        self.sequence
    }

    pub(super) fn blocks(&self) -> Vec<u64> {
        self.blocks.iter().copied().collect()
    }

    pub(super) fn events_after(&self, sequence: u64) -> Vec<CacheEvent> {
        let newer = self.events.iter().filter(|e| e.sequence > sequence);
        newer.copied().collect()
    }

    fn record(&mut self, block: u64, kind: CacheEventKind) {
        self.sequence += 1;
        self.events.push_back(CacheEvent {
            sequence: self.sequence,
            block,
            kind,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
