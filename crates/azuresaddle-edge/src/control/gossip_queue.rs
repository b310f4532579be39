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
const MAX_QUEUED: usize = 1024;

/// Queue of updates to send, at most `PER_ROUND` of them per round.
#[derive(Debug)]
pub(super) struct GossipQueue<T, const PER_ROUND: usize> {
    queue: VecDeque<QueuedUpdate<T>>,
}

#[derive(Debug)]
struct QueuedUpdate<T> {
    update: T,
    rounds_left: u32,
}

impl<T, const PER_ROUND: usize> Default for GossipQueue<T, PER_ROUND> {
    fn default() -> Self {
        Self {
            queue: VecDeque::new(),
        }
    }
}

impl<T: Clone, const PER_ROUND: usize> GossipQueue<T, PER_ROUND> {
    /// Adds an update.
    pub(super) fn push(&mut self, update: T) {
        if self.queue.len() >= MAX_QUEUED {
            self.queue.pop_front();
        }
        self.queue.push_back(QueuedUpdate {
            update,
            rounds_left: SEND_ROUNDS,
        });
    }

    /// Returns whether there are updates to send.
    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the updates of the next round; those that were sent least often come first.
    pub(super) fn next_round(&mut self) -> Vec<T> {
        let count = self.queue.len().min(PER_ROUND);
        let mut updates = Vec::with_capacity(count);
        for _ in 0..count {
            let Some(mut queued) = self.queue.pop_front() else {
                break;
            };
            updates.push(queued.update.clone());
            queued.rounds_left -= 1;
            if queued.rounds_left > 0 {
                self.queue.push_back(queued);
            }
        }
        updates
    }
}
