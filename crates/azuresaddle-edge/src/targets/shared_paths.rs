//! The paths to targets that connections and tunnels of this node use and observe together.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use azuresaddle_core::prelude::*;
use azuresaddle_sched::paths::TargetPaths;
use tokio::time::Instant;

use crate::metrics::Metrics;

/// [`TargetPaths`] that logs and counts their changes; cheap to clone.
#[derive(Clone)]
pub(crate) struct SharedPaths {
    state: Arc<Mutex<State>>,
    metrics: Metrics,
}

#[derive(Default)]
struct State {
    paths: TargetPaths,
    /// Whether this node was cut off when last looked at.
    is_cut_off: bool,
}

impl SharedPaths {
    pub(crate) fn new(metrics: Metrics) -> Self {
        Self {
            state: Arc::default(),
            metrics,
        }
    }

    /// Records a direct connection.
    pub(crate) fn on_connected(&self, target: &HostName) {
        let mut state = self.lock();
        if state.paths.on_connected(Instant::now(), target) {
            tracing::info!(part = "paths", %target, "path to the target is back");
        }
        self.publish_cut_off(&mut state);
    }

    /// Records a direct attempt that failed or was overtaken by one through another node. Returns whether this node
    /// counts as cut off now and did not before.
    pub(crate) fn on_failed(&self, target: &HostName) -> bool {
        let mut state = self.lock();
        let was_cut_off = state.is_cut_off;
        state.paths.on_failed(Instant::now(), target);
        self.publish_cut_off(&mut state);
        state.is_cut_off && !was_cut_off
    }

    /// Records a tunnel through the node `peer`.
    pub(crate) fn on_tunneled(&self, target: &HostName, peer: u64) {
        self.metrics.tunnels_used.inc();
        if self.lock().paths.on_tunneled(Instant::now(), target, peer) {
            tracing::info!(
                part = "paths",
                %target,
                peer,
                "path to the target is lost; connecting through another node"
            );
        }
    }

    /// Whether this node has lost its paths to the targets.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.with(|paths| paths.is_cut_off(Instant::now()))
    }

    /// Whether failures on the way to a target say nothing about it.
    pub(crate) fn is_at_fault(&self, target: &HostName) -> bool {
        self.with(|paths| paths.is_at_fault(Instant::now(), target))
    }

    pub(crate) fn with<T>(&self, f: impl FnOnce(&mut TargetPaths) -> T) -> T {
        f(&mut self.lock().paths)
    }

    fn publish_cut_off(&self, state: &mut State) {
        let is_cut_off = state.paths.is_cut_off(Instant::now());
        if is_cut_off != state.is_cut_off {
            state.is_cut_off = is_cut_off;
            self.metrics.is_cut_off.set(i64::from(is_cut_off));
            tracing::info!(
                part = "paths",
                is_cut_off,
                "paths to targets lost or regained"
            );
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
