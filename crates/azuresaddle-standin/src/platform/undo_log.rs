//! What it takes to bring the stand-in store back to an earlier state.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::store_state::Stored;

/// Age of the oldest state that the store can go back to.
const MAX_AGE: Duration = Duration::from_secs(60);

/// The state that one change replaced.
#[derive(Debug)]
pub(super) enum Undo {
    /// A key was written or removed.
    Changed {
        key: String,
        /// What it held.
        before: Option<Stored>,
        /// The store's revision.
        revision: u64,
    },
    /// A lease was given.
    Granted(u64),
    /// A lease ended.
    Ended {
        lease: u64,
        ttl: Duration,
        until: Instant,
    },
}

/// The latest changes, for as long as the store may go back behind them.
#[derive(Debug, Default)]
pub(super) struct UndoLog(VecDeque<(Instant, Undo)>);

impl UndoLog {
    /// Notes what a change replaces.
    pub(super) fn push(&mut self, undo: Undo) {
        let now = Instant::now();
        while self.0.front().is_some_and(|(at, _)| *at + MAX_AGE < now) {
            self.0.pop_front();
        }
        self.0.push_back((now, undo));
    }

    /// Takes the latest change, where it was made after a time.
    pub(super) fn pop_after(&mut self, to: Instant) -> Option<Undo> {
        let is_later = self.0.back().is_some_and(|(at, _)| *at > to);
        if !is_later {
            return None;
        }
        self.0.pop_back().map(|(_, undo)| undo)
    }
}
