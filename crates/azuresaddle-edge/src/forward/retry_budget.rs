//! This node's share of the fleet-wide retry budget.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azuresaddle_core::deployment::Bounds;
use tokio::time::Instant;

/// Part of its share that a node uses. The rest is a margin for nodes that see different numbers of live nodes, and for
/// windows that slide by whole buckets.
const USED_SHARE: f64 = 0.7;

/// Number of buckets in a window.
const BUCKETS: u32 = 20;

/// Limits the retries of each service in a sliding window.
///
/// Nodes don't coordinate: each may retry the configured ratio of its own requests, plus an equal share of the fixed
/// number of extra retries. The shares are those for the largest number of nodes in the window, since the retries of nodes
/// that have left count until the window has passed.
pub(crate) struct RetryBudget {
    bounds: Bounds,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Number of nodes that share the extra retries.
    nodes: SlidingMax,
    services: HashMap<Arc<str>, Window>,
}

/// Largest value in a sliding window.
#[derive(Default)]
struct SlidingMax {
    /// Values in decreasing order, each with the latest time at which it was seen.
    values: VecDeque<(Instant, usize)>,
}

#[derive(Default)]
struct Window {
    buckets: VecDeque<Bucket>,
}

struct Bucket {
    start: Instant,
    /// Requests, without their retries.
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    pub(crate) fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            state: Mutex::default(),
        }
    }

    /// Counts a request to a service.
    pub(crate) fn on_request(&self, service: &Arc<str>) {
        let mut state = self.lock();
        let window = state.services.entry(Arc::clone(service)).or_default();
        window.current_bucket(self.bounds.retry_window).requests += 1;
    }

    /// Whether a retry is left in the share of one of `nodes` nodes.
    pub(crate) fn has_retry(&self, service: &Arc<str>, nodes: usize) -> bool {
        let mut state = self.lock();
        let nodes = state.nodes.update(nodes, self.bounds.retry_window);
        let window = state.services.entry(Arc::clone(service)).or_default();
        self.is_within_share(window, nodes)
    }

    /// Takes one retry from the share of one of `nodes` nodes; `false` if the share is used up.
    pub(crate) fn try_take(&self, service: &Arc<str>, nodes: usize) -> bool {
        let mut state = self.lock();
        let nodes = state.nodes.update(nodes, self.bounds.retry_window);
        let window = state.services.entry(Arc::clone(service)).or_default();
        let is_left = self.is_within_share(window, nodes);
        if is_left {
            window.current_bucket(self.bounds.retry_window).retries += 1;
        }
        is_left
    }

    /// Whether one more retry is within the share of one of `nodes` nodes.
    fn is_within_share(&self, window: &mut Window, nodes: usize) -> bool {
        window.current_bucket(self.bounds.retry_window);
        let requests: u32 = window.buckets.iter().map(|b| b.requests).sum();
        let retries: u32 = window.buckets.iter().map(|b| b.retries).sum();
        let extra = self.bounds.retry_extra / nodes.max(1) as f64;
        let allowed = USED_SHARE * (self.bounds.retry_ratio * f64::from(requests) + extra);
        f64::from(retries) + 1.0 <= allowed
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SlidingMax {
    /// Adds the current value and returns the largest one in the window.
    fn update(&mut self, value: usize, window: Duration) -> usize {
        let now = Instant::now();
        while self.values.back().is_some_and(|(_, v)| *v <= value) {
            self.values.pop_back();
        }
        self.values.push_back((now, value));
        let is_old = |(at, _): &(Instant, usize)| now.saturating_duration_since(*at) > window;
        while self.values.front().is_some_and(is_old) {
            self.values.pop_front();
        }
        self.values.front().map_or(value, |(_, v)| *v)
    }
}

impl Window {
    /// Drops the buckets that have left the window and returns the current one.
    fn current_bucket(&mut self, length: Duration) -> &mut Bucket {
        let now = Instant::now();
        while let Some(bucket) = self.buckets.front() {
            if now.saturating_duration_since(bucket.start) <= length {
                break;
            }
            self.buckets.pop_front();
        }
        let is_current = self
            .buckets
            .back()
            .is_some_and(|bucket| now.saturating_duration_since(bucket.start) < length / BUCKETS);
        if !is_current {
            self.buckets.push_back(Bucket {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        self.buckets.back_mut().expect("pushed above")
    }
}
