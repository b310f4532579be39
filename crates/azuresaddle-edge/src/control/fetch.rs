//! Fetches configurations and targets from other nodes that know later changes.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_platform::{StoreEra, StorePosition};
use azuresaddle_rpc::RpcError;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::actor::Control;
use super::heartbeat::MemberState;
use crate::peer::{PeerClients, PeerState};

/// Timeout for fetching an update from another node.
const PEER_TIMEOUT: Duration = Duration::from_millis(600);

/// Timeout for fetching everything from another node, which may answer many that start together.
const FULL_FETCH_TIMEOUT: Duration = Duration::from_millis(1000);

/// Time for which a node that watches the store waits for its own watch to deliver a change that
/// another node already knows.
const WATCH_HEAD_START: Duration = Duration::from_millis(150);

/// Time for which two nodes at the same position must differ before all targets are fetched;
/// fetching single changes cannot reconcile them.
///
/// A node that is merely behind never fetches all targets: while thousands of targets registered,
/// each node of a large fleet did so constantly, which left no bandwidth for heartbeats.
const FULL_FETCH_DELAY: Duration = Duration::from_millis(1000);

/// Time after the start of the process for which it waits for its own first listing of the store.
const LISTING_WAIT: Duration = Duration::from_secs(1);

/// Minimum interval between two fetches of all targets.
const MIN_FULL_FETCH_INTERVAL: Duration = Duration::from_millis(1000);

/// Time for which a node is behind another one before it says so in the log.
const LAG_REPORT_DELAY: Duration = Duration::from_millis(1000);

/// What is fetched from another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FetchScope {
    /// Changes after a position.
    Changes(StorePosition),
    /// All targets.
    All {
        /// Whether the other node has been serving for a while.
        from_settled: bool,
    },
}

/// Result of a fetch; `state` is `None` if it failed.
#[derive(Debug)]
pub(super) struct Fetched {
    scope: FetchScope,
    /// The node that did not answer, if it did not.
    unanswered_by: Option<Ipv4Addr>,
    pub(super) state: Option<PeerState>,
}

/// A fetch under way. Its result is sent when it is dropped, so that control learns of its end however the task ends.
pub(super) struct PendingFetch {
    pub(super) scope: FetchScope,
    /// The node that is asked, until it answers.
    pub(super) unanswered_by: Option<Ipv4Addr>,
    pub(super) state: Option<PeerState>,
    pub(super) tx: mpsc::Sender<Fetched>,
}

impl PendingFetch {
    pub(super) fn finish(mut self, state: Option<PeerState>) {
        self.unanswered_by = None;
        self.state = state;
    }
}

impl Drop for PendingFetch {
    fn drop(&mut self) {
        let fetched = Fetched {
            scope: self.scope,
            unanswered_by: self.unanswered_by,
            state: self.state.take(),
        };
        // There is one fetch at a time, so the queue has room unless the control loop has ended.
        let _ = self.tx.try_send(fetched);
    }
}

impl<N: Network> Control<N> {
    /// Fetches from a node that knows later changes, once the own watch has had time to deliver
    /// them.
    pub(super) fn fetch_if_behind(&mut self, now: Instant, fetched_tx: &mpsc::Sender<Fetched>) {
        let Some((addr, scope)) = self.next_fetch(now) else {
            return;
        };
        if self.is_fetching {
            return;
        }
        self.is_fetching = true;
        self.metrics
            .on_fetch(matches!(scope, FetchScope::All { .. }));
        let after = match scope {
            FetchScope::All { .. } => {
                self.full_fetch_at = Some(now);
                None
            }
            FetchScope::Changes(after) => Some(after),
        };
        let timeout = match scope {
            FetchScope::All { .. } => FULL_FETCH_TIMEOUT,
            FetchScope::Changes(_) => PEER_TIMEOUT,
        };
        let configuration = self.version();
        let peers = self.peers.clone();
        let pending = PendingFetch {
            scope,
            unanswered_by: ipv4(addr),
            state: None,
            tx: fetched_tx.clone(),
        };
        self.spawner.spawn(async move {
            let state = fetch(&peers, addr, timeout, configuration, after).await;
            match state {
                // The other node may also be too busy to provide everything.
                Ok(state) => pending.finish(state),
                Err(e) => {
                    tracing::debug!(part = "control", %addr, error = %e, "fetching an update failed");
                }
            }
        });
    }

    /// Chooses the node to fetch from and the scope; `None` if no node knows more, or the own watch
    /// may still deliver it. All targets are fetched when this node starts, and when a node at the
    /// same position has different targets.
    fn next_fetch(&mut self, now: Instant) -> Option<(SocketAddr, FetchScope)> {
        if self.needs_sync() {
            let settled = self.members.choose_peer(now, |n| n.is_settled);
            if let Some(addr) = settled {
                return Some((addr, FetchScope::All { from_settled: true }));
            }
        }
        let from_settled = false;
        if let Some(addr) = self.choose_provider(now) {
            return Some((addr, FetchScope::All { from_settled }));
        }
        if self.is_listing_store(now) {
            return None;
        }
        let configuration = self.version();
        let targets = self.registry.position();
        let is_later = |n: &MemberState| n.configuration > configuration || n.targets > targets;
        if let Some(addr) = self.members.choose_peer(now, is_later) {
            self.differs_since = None;
            let since = *self.behind_since.get_or_insert(now);
            let head_start = if self.members.watch_role(now).is_some() {
                WATCH_HEAD_START
            } else {
                Duration::ZERO
            };
            let is_due = now.saturating_duration_since(since) >= head_start;
            return is_due.then_some((addr, FetchScope::Changes(targets)));
        }
        self.behind_since = None;
        let hash = self.registry.published().hash;
        let differs = |n: &MemberState| n.targets == targets && n.targets_hash != hash;
        let Some(addr) = self.members.choose_peer(now, differs) else {
            self.differs_since = None;
            return None;
        };
        let since = *self.differs_since.get_or_insert(now);
        let differs_for = now.saturating_duration_since(since);
        let is_due = differs_for >= FULL_FETCH_DELAY && self.may_fetch_all(now);
        is_due.then_some((addr, FetchScope::All { from_settled }))
    }

    /// Chooses the node that provides everything to this one, which has just started; `None` if this
    /// node has all targets or no other node can help.
    ///
    /// When a large fleet starts as a whole, most nodes get the content of the store sooner from the
    /// first ones that have read it, since the store's bandwidth is shared by all.
    fn choose_provider(&mut self, now: Instant) -> Option<SocketAddr> {
        if self.has_all_targets() {
            return None;
        }
        let newest = self.members.newest_configuration(now);
        let is_complete = |n: &MemberState| n.has_all_targets() && n.configuration == newest;
        if let Some(addr) = self.members.choose_peer(now, is_complete) {
            return Some(addr);
        }
        if self.configuration.is_some() || newest == 0 {
            return None;
        }
        self.members.choose_peer(now, |n| n.configuration == newest)
    }

    /// Returns whether this node is still reading the complete store, so that it need not fetch the
    /// targets from other nodes too.
    ///
    /// Without this check, hundreds of nodes that start together receive each target twice, over
    /// links that some share with callers.
    fn is_listing_store(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.members.started_at);
        !self.has_all_targets() && !self.is_store_unreachable && age < LISTING_WAIT
    }

    fn may_fetch_all(&self, now: Instant) -> bool {
        let last = self.full_fetch_at;
        last.is_none_or(|at| now.saturating_duration_since(at) >= MIN_FULL_FETCH_INTERVAL)
    }

    pub(super) fn on_fetched(&mut self, fetched: Fetched) -> bool {
        self.is_fetching = false;
        if let Some(node) = fetched.unanswered_by {
            self.members.on_fetch_failed(Instant::now(), node);
        }
        let Some(PeerState {
            update,
            domain_drains,
        }) = fetched.state
        else {
            return false;
        };
        let now = Instant::now();
        let era = self.registry.position().era;
        let had_all_targets = self.has_all_targets();
        let mut changed = false;
        for target in update.targets {
            changed |= self.registry.apply_update(now, target);
        }
        for drain in domain_drains {
            changed |= self.registry.apply_drain(now, drain);
        }
        self.registry.on_synced(update.position);
        if let FetchScope::All { from_settled } = fetched.scope {
            self.start_gate.is_synced |= from_settled;
            let is_complete = update.position != StorePosition::default();
            self.start_gate.has_fetched_all |= is_complete;
        }
        // Other nodes learn that this one has all targets now.
        changed |= had_all_targets != self.has_all_targets();
        if let Some(json) = update.configuration {
            changed |= self.on_configuration(json, "a node");
        }
        self.detect_rollback();
        changed |= self.registry.position().era != era;
        changed | self.retry_deferred_configuration()
    }

    /// Logs when this node stays behind others, and when it has caught up.
    pub(super) fn report_lag(&mut self, now: Instant) {
        let newest = self.members.newest_configuration(now).max(self.version());
        self.metrics.newest_configuration_version.set(newest);
        let lag = self
            .behind_since
            .map(|since| now.saturating_duration_since(since));
        let is_behind = lag.is_some_and(|lag| lag >= LAG_REPORT_DELAY);
        let has_newer = newest > self.version();
        self.snapshots.progress().set_behind(is_behind && has_newer);
        if is_behind == self.is_lag_reported {
            return;
        }
        self.is_lag_reported = is_behind;
        let configuration = self.version();
        if is_behind {
            tracing::warn!(
                part = "control",
                configuration,
                newest,
                is_fetching = self.is_fetching,
                "behind other nodes"
            );
        } else {
            tracing::info!(part = "control", configuration, "no longer behind");
        }
    }

    /// Logs and counts a rollback of the store to an older copy.
    pub(super) fn detect_rollback(&mut self) {
        let era = self.registry.era();
        if era == StoreEra::default() {
            return;
        }
        let known = self.known_era.replace(era);
        if known.is_some_and(|known| known < era) {
            tracing::warn!(
                part = "control",
                era = era.0,
                "store rolled back to an older copy"
            );
            self.metrics.store_rollbacks.inc();
        }
    }
}

/// Address of the host of a node, which has an IPv4 address.
fn ipv4(addr: SocketAddr) -> Option<Ipv4Addr> {
    match addr.ip() {
        IpAddr::V4(ip) => Some(ip),
        IpAddr::V6(_) => None,
    }
}

/// Fetches what a node knows beyond a configuration version and a position; everything without one.
/// `None` if it is too busy.
async fn fetch<N: Network>(
    peers: &PeerClients<N>,
    addr: SocketAddr,
    timeout: Duration,
    configuration: u64,
    after: Option<StorePosition>,
) -> Result<Option<PeerState>, RpcError> {
    let state = peers
        .call(addr, timeout, async |client, cx| {
            client.state_since(cx, configuration, after).await
        })
        .await;
    if state != Err(RpcError::Broken) {
        return state;
    }
    // A node of an earlier build breaks the connection on a call that it does not know.
    let update = peers
        .call(addr, timeout, async |client, cx| {
            client.updates(cx, configuration, after).await
        })
        .await;
    update.map(|update| Some(update.into()))
}
