//! Undo log with which the stand-in store is rolled back to an earlier state.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::store_state::Stored;

/// Age of the oldest state to which the store can be rolled back.
const MAX_AGE: Duration = Duration::from_secs(60);

/// The state that a single change replaced.
#[derive(Debug)]
pub(super) enum Undo {
    /// A key was written or removed.
    Changed {
        key: String,
        /// Previous value of the key.
        before: Option<Stored>,
        /// Revision of the store before the change.
        revision: u64,
    },
    /// A lease was granted.
    Granted(u64),
    /// A lease ended.
    Ended {
        lease: u64,
        ttl: Duration,
        until: Instant,
    },
}

/// The latest changes, kept for as long as the store may be rolled back past them.
#[derive(Debug, Default)]
pub(super) struct UndoLog(VecDeque<(Instant, Undo)>);

impl UndoLog {
    /// Records the state that a change replaces.
    pub(super) fn push(&mut self, undo: Undo) {
        let now = Instant::now();
        while self.0.front().is_some_and(|(at, _)| *at + MAX_AGE < now) {
            self.0.pop_front();
        }
        self.0.push_back((now, undo));
    }

    /// Removes and returns the latest change if it was made after `to`.
    pub(super) fn pop_after(&mut self, to: Instant) -> Option<Undo> {
        let is_later = self.0.back().is_some_and(|(at, _)| *at > to);
        if !is_later {
            return None;
        }
        self.0.pop_back().map(|(_, undo)| undo)
    }
}
