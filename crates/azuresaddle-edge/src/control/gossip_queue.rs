//! Queue of updates that a node gossips.
//!
//! In a small fleet each update goes to all nodes; in a larger one to a few gossip peers, which
//! relay what is new to them. Each update is sent in several rounds, since datagrams may be lost.

use std::collections::VecDeque;

/// Number of rounds in which an update is sent: with four gossip peers each, three rounds reach
/// hundreds of nodes even if some datagrams are lost.
const SEND_ROUNDS: u32 = 3;

/// Capacity of the queue; when it is full the oldest updates are dropped. A node never sends more
/// than one datagram per round to each of four gossip peers.
const MAX_WAITING: usize = 1024;

/// Queue of updates to send, at most `PER_ROUND` of them per round.
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
    /// Adds an update.
    pub(super) fn push(&mut self, update: T) {
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.pop_front();
        }
        self.waiting.push_back(QueuedUpdate {
            update,
            rounds_left: SEND_ROUNDS,
        });
    }

    /// Returns the updates of the next round; those that were sent least often come first.
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
