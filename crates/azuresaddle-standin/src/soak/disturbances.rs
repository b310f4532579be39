//! What faults disturbed, and when.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// What a fault disturbs; nodes are given by their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Disturbed {
    /// The process of a node.
    Node(usize),
    /// The store, for all nodes.
    Store,
    /// The path of one node to the store.
    StorePath(usize),
    /// The paths of all nodes to the store.
    AllStorePaths,
}

/// The disturbances of a soak.
#[derive(Default)]
pub(super) struct Disturbances(Mutex<Records>);

#[derive(Default)]
struct Records {
    spans: Vec<Span>,
    /// Number of times that each node was started again.
    restarts: HashMap<usize, u64>,
}

struct Span {
    what: Disturbed,
    from: Instant,
    /// `None` as long as it goes on.
    until: Option<Instant>,
}

impl Disturbances {
    /// Records that a disturbance begins now.
    pub(super) fn begin(&self, what: Disturbed) {
        self.lock().spans.push(Span {
            what,
            from: Instant::now(),
            until: None,
        });
    }

    /// Records that the disturbances of `what` end after a time.
    pub(super) fn end(&self, what: Disturbed, after: Duration) {
        let until = Instant::now() + after;
        for span in &mut self.lock().spans {
            if span.what == what && span.until.is_none() {
                span.until = Some(until);
            }
        }
    }

    /// Whether a matching disturbance went on at any time between two times.
    pub(super) fn any_between(
        &self,
        from: Instant,
        to: Instant,
        matches: impl Fn(Disturbed) -> bool,
    ) -> bool {
        let records = self.lock();
        let overlaps = |s: &Span| s.from <= to && s.until.is_none_or(|until| until >= from);
        records.spans.iter().any(|s| matches(s.what) && overlaps(s))
    }

    /// Records that a node is started again.
    pub(super) fn on_restart(&self, node: usize) {
        *self.lock().restarts.entry(node).or_default() += 1;
    }

    /// Returns how often a node was started again.
    pub(super) fn restarts(&self, node: usize) -> u64 {
        self.lock().restarts.get(&node).copied().unwrap_or(0)
    }

    fn lock(&self) -> MutexGuard<'_, Records> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
