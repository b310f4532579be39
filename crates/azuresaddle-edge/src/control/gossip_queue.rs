//! How nodes tell each other what one of them has seen.
//!
//! Each update goes to all nodes of a small fleet; in a larger one to a few partners, who pass on what
//! is new to them. Datagrams get lost, so it is told in several rounds.

use std::collections::VecDeque;

/// Rounds in which an update is told: with four partners each, three reach hundreds of nodes although some datagrams
/// are lost.
const SEND_ROUNDS: u32 = 3;

/// Most updates that wait; beyond, the oldest are dropped. A datagram a round to four partners is all that a node
/// sends, whatever happens.
const MAX_WAITING: usize = 1024;

/// Updates that wait to be told, at most `PER_ROUND` of them in one round.
#[derive(Debug)]
pub(super) struct GossipQueue<T, const PER_ROUND: usize> {
    waiting: VecDeque<QueuedUpdate<T>>,
}

#[derive(Debug)]
struct QueuedUpdate<T> {
    update: T,
    rounds_left: u32,
}

impl<T, const PER_ROUND: usize> Default for GossipQueue<T, PER_ROUND> {
    fn default() -> Self {
        Self {
            waiting: VecDeque::new(),
        }
    }
}

impl<T: Clone, const PER_ROUND: usize> GossipQueue<T, PER_ROUND> {
    /// Takes something to tell.
    pub(super) fn push(&mut self, update: T) {
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.pop_front();
        }
        self.waiting.push_back(QueuedUpdate {
            update,
            rounds_left: SEND_ROUNDS,
        });
    }

    /// What to tell in one round; the updates that were told least come first.
    pub(super) fn next_round(&mut self) -> Vec<T> {
        let count = self.waiting.len().min(PER_ROUND);
        let mut told = Vec::with_capacity(count);
        for _ in 0..count {
            let Some(mut rumor) = self.waiting.pop_front() else {
                break;
            };
            told.push(rumor.update.clone());
            rumor.rounds_left -= 1;
            if rumor.rounds_left > 0 {
                self.waiting.push_back(rumor);
            }
        }
        told
    }
}
