//! State of the owner: its pools, the requests that wait for a decision, and the handover from another owner.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::deployment::{Configuration, RateLimit};
use azuresaddle_core::prelude::*;
use azuresaddle_sched::RateBucket;
use azuresaddle_sched::passes::{
    PassOptions, PassPool, PlacementDecision, PlacementId, StreamOutcome,
};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::demand_reporter::DemandReporter;
use crate::snapshot::{LiveNode, Snapshot, TargetSet};

/// Longest time that a new owner waits for the nodes to send their streams: many round trips, and half of
/// the time that a short prompt can wait.
const MAX_HANDOVER_WAIT: Duration = Duration::from_millis(120);

/// Shortest time between two dispatches while requests wait: a tenth of a pass, which is the longest delay that it adds
/// for a request.
const MIN_DISPATCH_INTERVAL: Duration = Duration::from_millis(4);

/// State of [`Owner`](super::Owner), guarded by its lock.
#[derive(Default)]
pub(super) struct OwnerState {
    /// Options of new pools.
    pub(super) options: PassOptions,
    pub(super) pools: HashMap<Arc<str>, PassPool>,
    /// Where to send the decisions about waiting requests.
    pub(super) waiters: HashMap<PlacementId, oneshot::Sender<PlacementDecision>>,
    /// Whether this node is the owner.
    pub(super) is_owner: bool,
    /// Set while placement waits for the nodes to send their streams.
    pub(super) handover: Option<Handover>,
    /// Configuration that was last applied to the pools.
    pub(super) configuration: Option<Arc<Configuration>>,
    /// Targets that were last applied to the pools.
    pub(super) targets: Arc<TargetSet>,
    pub(super) nodes: Arc<Vec<LiveNode>>,
    pub(super) rate_limits: Arc<HashMap<HostName, RateLimit>>,
    /// Token buckets of plain targets that have a rate limit.
    pub(super) plain_target_buckets: HashMap<HostName, RateBucket>,
    /// When the next dispatch may begin; `None` if the last one left no request waiting.
    pub(super) next_dispatch: Option<Instant>,
    /// Whether a dispatch was postponed until `next_dispatch`.
    pub(super) is_dispatch_due: bool,
    /// Number of dispatches so far, which tests check.
    pub(super) dispatches: u64,
    pub(super) demand: DemandReporter,
}

/// The time in which a new owner waits for the nodes to send their streams. Without this wait all engines seemed
/// idle, so the first long prompt was spread over all of them and every short stream was late.
pub(super) struct Handover {
    /// Nodes that have not sent their streams yet.
    pub(super) unsynced: HashSet<u64>,
    pub(super) until: Instant,
}

/// Placeholder in [`Handover::unsynced`] for nodes that this node has not discovered yet since its start.
const UNKNOWN_NODE: u64 = 0;

impl Handover {
    fn new(now: Instant, snapshot: &Snapshot) -> Self {
        let nodes = snapshot.nodes.iter().map(|n| n.incarnation);
        let mut unsynced: HashSet<u64> = nodes.collect();
        // A node that knows no other may be one of many that start together, which would all place on the same engines.
        if unsynced.len() == 1 {
            unsynced.insert(UNKNOWN_NODE);
        }
        Self {
            unsynced,
            until: now + MAX_HANDOVER_WAIT,
        }
    }

    /// Adds the nodes that are discovered during the handover.
    fn update_nodes(&mut self, snapshot: &Snapshot, before: &[LiveNode]) {
        if snapshot.nodes.len() > 1 {
            self.unsynced.remove(&UNKNOWN_NODE);
        }
        for node in snapshot.nodes.iter() {
            if before.iter().all(|b| b.incarnation != node.incarnation) {
                self.unsynced.insert(node.incarnation);
            }
        }
    }
}

impl OwnerState {
    /// Applies the snapshot's owner. Starts a handover if this node becomes the owner.
    pub(super) fn update_ownership(&mut self, now: Instant, snapshot: &Snapshot, node: u64) {
        let is_owner = snapshot.owner == node;
        if is_owner && !self.is_owner {
            let waits = self.options.handover_wait;
            self.handover = waits.then(|| Handover::new(now, snapshot));
            tracing::info!(
                part = "placement",
                nodes = snapshot.nodes.len(),
                "owner now"
            );
        }
        if !is_owner {
            self.handover = None;
        }
        if let Some(handover) = &mut self.handover {
            handover.update_nodes(snapshot, &self.nodes);
        }
        if is_owner != self.is_owner {
            self.set_owner(now, is_owner);
        }
        self.is_owner = is_owner;
    }

    /// Updates the engines of all pools. Returns early if nothing changed, as with nearly every snapshot.
    pub(super) fn update_targets(
        &mut self,
        now: Instant,
        configuration: &Arc<Configuration>,
        targets: &Arc<TargetSet>,
    ) {
        let is_same = self
            .configuration
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, configuration));
        if is_same && Arc::ptr_eq(&self.targets, targets) {
            return;
        }
        for service in configuration.services() {
            let Some(spec) = &service.engine else {
                continue;
            };
            let pool = self
                .pools
                .entry(Arc::clone(&service.name))
                .or_insert_with(|| {
                    let mut pool = PassPool::new(self.options.clone(), spec.clone());
                    pool.set_owner(now, self.is_owner);
                    pool
                });
            pool.set_spec(spec);
            for target in targets.of_service(&service.name) {
                pool.upsert_engine(now, &target.id, &target.domain, false);
                pool.record_start(now, &target.id, target.started);
            }
            pool.retain_engines(|id| targets.get(id).is_some());
        }
        self.configuration = Some(Arc::clone(configuration));
        self.targets = Arc::clone(targets);
    }

    /// Sets whether this node owns the pools. Drops the token buckets of an earlier ownership.
    fn set_owner(&mut self, now: Instant, is_owner: bool) {
        self.plain_target_buckets.clear();
        for pool in self.pools.values_mut() {
            pool.set_owner(now, is_owner);
        }
    }

    /// Applies the rate limits of targets.
    pub(super) fn update_rate_limits(
        &mut self,
        now: Instant,
        limits: &Arc<HashMap<HostName, RateLimit>>,
    ) {
        if limits.is_empty() && self.rate_limits.is_empty() {
            return;
        }
        self.rate_limits = Arc::clone(limits);
        for pool in self.pools.values_mut() {
            pool.set_rate_limits(now, |id| limits.get(id));
        }
        self.plain_target_buckets
            .retain(|id, _| limits.contains_key(id));
    }

    /// Takes a token from the bucket of a plain target that has a rate limit.
    ///
    /// # Errors
    /// The time until the next token is available.
    pub(super) fn take_permit(
        &mut self,
        now: Instant,
        target: &HostName,
        limit: RateLimit,
    ) -> Result<(), Duration> {
        // The requesting node may know of the limit before this one does.
        let limit = self.rate_limits.get(target).copied().unwrap_or(limit);
        let rate = self
            .plain_target_buckets
            .entry(target.clone())
            .or_insert(RateBucket::new(now, limit));
        rate.set_limit(now, limit);
        if rate.take(now) {
            return Ok(());
        }
        Err(rate.next_token_in(now))
    }

    /// Removes the streams and requests of nodes that are no longer live. A node that is still waiting gets no decision and
    /// sends its request again.
    pub(super) fn update_nodes(&mut self, nodes: &Arc<Vec<LiveNode>>) {
        if Arc::ptr_eq(&self.nodes, nodes) {
            return;
        }
        let live: HashSet<u64> = nodes.iter().map(|n| n.incarnation).collect();
        for pool in self.pools.values_mut() {
            pool.retain_nodes(|node| live.contains(&node));
        }
        self.waiters.retain(|id, _| live.contains(&id.node));
        self.nodes = Arc::clone(nodes);
    }

    /// Records that a node has sent its streams.
    pub(super) fn mark_synced(&mut self, node: u64) {
        if let Some(handover) = &mut self.handover {
            handover.unsynced.remove(&node);
        }
    }

    /// Whether a handover is in progress, in which the pools may lack streams of other nodes.
    pub(super) fn is_taking_over(&mut self, now: Instant) -> bool {
        let is_ongoing = self
            .handover
            .as_ref()
            .is_some_and(|h| now < h.until && !h.unsynced.is_empty());
        if !is_ongoing {
            self.handover = None;
        }
        is_ongoing
    }

    /// Returns the engines to probe for their pace now; none if another node is the owner.
    pub(super) fn take_pace_probes(&mut self, now: Instant) -> Vec<HostName> {
        if !self.is_owner {
            return Vec::new();
        }
        let pools = self.pools.values_mut();
        pools.flat_map(|p| p.take_pace_probes(now)).collect()
    }

    /// Places waiting requests where there is room, and sends the decisions.
    ///
    /// While requests wait, events are collected into one dispatch. A dispatch for each event would spend the owner's CPU time on
    /// requests that find no room, and delay those that would.
    pub(super) fn dispatch(&mut self, now: Instant) {
        if self.is_taking_over(now) {
            return;
        }
        if self.next_dispatch.is_some_and(|at| now < at) {
            self.is_dispatch_due = true;
            return;
        }
        self.dispatches += 1;
        let Self { pools, waiters, .. } = self;
        for pool in pools.values_mut() {
            pool.dispatch(now);
            for (id, decision) in pool.take_decisions() {
                let is_delivered = waiters
                    .remove(&id)
                    .is_some_and(|tx| tx.send(decision).is_ok());
                if !is_delivered {
                    // The requester is gone, so the stream will not run.
                    pool.end(now, id, &StreamOutcome::Cancelled);
                }
            }
        }
        self.demand.report(now, &mut self.pools);
        let is_waiting = self.pools.values().any(|p| p.waiting() > 0);
        self.next_dispatch = is_waiting.then(|| now + MIN_DISPATCH_INTERVAL);
        self.is_dispatch_due = false;
    }

    /// When [`Self::dispatch`] must be called if no event occurs before.
    pub(super) fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        if let Some(handover) = &self.handover {
            return Some(handover.until);
        }
        if self.is_dispatch_due {
            return self.next_dispatch;
        }
        let pools = self.pools.values();
        pools.filter_map(|p| p.next_wakeup(now)).min()
    }
}
