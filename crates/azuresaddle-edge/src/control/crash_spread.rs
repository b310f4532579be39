//! How nodes tell each other of requests that crash their targets.
//!
//! Each update goes to all nodes of a small fleet; in a larger one to a few partners, who pass on what
//! is new to them. Datagrams get lost, so it is told in several rounds.

use std::collections::VecDeque;

use crate::quarantine::CrashUpdate;

/// Rounds in which an update is told: with four partners each, three reach hundreds of nodes although some datagrams
/// are lost.
const ROUNDS: u32 = 3;

/// Most updates in a datagram, each of at most 31 bytes.
pub(super) const MAX_UPDATES: usize = 40;

/// Most updates that wait; beyond, the oldest are dropped. A datagram a round to four partners is all that a node
/// sends, whatever happens.
const MAX_WAITING: usize = 1024;

/// News that wait to be told.
#[derive(Debug, Default)]
pub(super) struct CrashSpread {
    waiting: VecDeque<Rumor>,
}

#[derive(Debug)]
struct Rumor {
    update: CrashUpdate,
    rounds_left: u32,
}

impl CrashSpread {
    /// Takes something to tell.
    pub(super) fn push(&mut self, update: CrashUpdate) {
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.pop_front();
        }
        self.waiting.push_back(Rumor {
            update,
            rounds_left: ROUNDS,
        });
    }

    /// What to tell in one round; the updates that were told least come first.
    pub(super) fn next_round(&mut self) -> Vec<CrashUpdate> {
        let count = self.waiting.len().min(MAX_UPDATES);
        let mut told = Vec::with_capacity(count);
        for _ in 0..count {
            let Some(mut rumor) = self.waiting.pop_front() else {
                break;
            };
            told.push(rumor.update);
            rumor.rounds_left -= 1;
            if rumor.rounds_left > 0 {
                self.waiting.push_back(rumor);
            }
        }
        told
    }
}
