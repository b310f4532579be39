//! Membership: failure detection and choice of the owner, the node that places streams.
//!
//! In a small fleet all nodes exchange heartbeats (full mesh). In a larger one each node sends
//! heartbeats to a few gossip peers, which relay what they have received, so that the number of
//! messages per node does not grow with the fleet.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use azuresaddle_core::bounded_time::scaled;
use azuresaddle_sched::addresses::{HostLoads, MAX_ADDRESSES};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use tokio::time::Instant;

use super::candidates::Candidates;
use super::failover::Failover;
use super::heartbeat::MemberState;
use super::unheard_hosts::UnheardHosts;
use super::watch_role::WatchRole;

use crate::snapshot::{LiveNode, NO_OWNER};

/// Interval between two ticks of the control loop.
pub(super) const TICK: Duration = Duration::from_millis(100);

/// Maximum fleet size for a full mesh of heartbeats.
const MAX_MESH: usize = 12;

/// Time without a heartbeat after which a node of a small fleet is considered failed: four lost
/// heartbeats, so that single lost datagrams have no effect.
const MESH_FAILURE_TIMEOUT: Duration = Duration::from_millis(450);

/// Time without a heartbeat after which a node of a larger fleet is considered failed. It covers
/// many gossip rounds, since a digest takes several hops and may be displaced by others on the way.
const GOSSIP_FAILURE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Fleet size up to which `GOSSIP_FAILURE_TIMEOUT` applies. In larger fleets each node is heard
/// from less often, and the timeout grows in proportion to the fleet.
const GOSSIP_TIMEOUT_NODES: usize = 250;

/// Maximum time without a heartbeat for which callers are given a node's address. It does not grow
/// with the fleet: a live node that is left out costs nothing, since any other takes its place.
const ADDRESS_TIMEOUT: Duration = Duration::from_secs(4);

/// Time without a heartbeat after which a node is removed from the member list.
const MEMBER_RETENTION: Duration = Duration::from_secs(20);

/// Time for which a node that did not answer a fetch is asked only if no other one can be.
const FAILED_FETCH_MEMORY: Duration = Duration::from_secs(2);

/// Tick delay above which a missing heartbeat does not count, since this process itself was
/// stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(250);

/// Number of nodes of a larger fleet that watch the store on behalf of all.
const WATCHERS: usize = 4;

/// Minimum number of other nodes with a working watch before further nodes stop watching.
const MIN_WATCHING: usize = 2;

/// Number of watchers when too few nodes get answers from the store: enough for several to reach a
/// store that rejects a third of the nodes.
const STANDBY_WATCHERS: usize = 16;

/// Maximum number of watchers, so that a store that is down does not receive calls from every node
/// of a large fleet.
const MAX_WATCHERS: usize = 64;

/// Interval after which the number of watchers doubles while too few get answers.
const WATCHERS_DOUBLE_INTERVAL: Duration = Duration::from_millis(500);

/// Delay after the start of the process before it watches the store, which it has just read. By
/// then it knows whether other nodes watch.
const WATCH_DELAY: Duration = Duration::from_millis(500);

/// The same for a node of a larger fleet that knows a stronger one, until it knows most nodes: before
/// that it would take itself for one of the first.
const WEAKER_NODE_WATCH_DELAY: Duration = Duration::from_millis(1200);

/// Another node of the fleet.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) state: MemberState,
    /// Counter of its latest known heartbeat, from a full state or a digest.
    pub(super) last_counter: u32,
    pub(super) heard_at: Instant,
    /// When it joined, restarted, or changed whether it accepts callers, watches the store or has all
    /// targets.
    pub(super) changed_at: Instant,
}

/// This node's state and the known other nodes, by host.
#[derive(Debug)]
pub(super) struct Members {
    pub(super) own: MemberState,
    peer_port: u16,
    pub(super) seeds: Vec<Ipv4Addr>,
    pub(super) members: HashMap<Ipv4Addr, Member>,
    /// Hosts without an entry in `members` whose nodes may be running.
    pub(super) unheard: UnheardHosts,
    /// When this process started listening.
    pub(super) started_at: Instant,
    last_tick_at: Instant,
    pub(super) ticks: u32,
    pub(super) failover: Failover,
    /// Incarnations of the nodes whose addresses callers are given if all get the same answer.
    offered: Vec<u64>,
    pub(super) candidates: Candidates,
    /// Load levels of the hosts, this one among them.
    pub(super) loads: HostLoads,
    /// Since when too few nodes get answers from the store.
    unwatched_since: Option<Instant>,
    /// Nodes that did not answer a fetch, and when.
    failed_fetches: HashMap<Ipv4Addr, Instant>,
    /// Random generator for the choice of peers; seeded with the incarnation to make tests
    /// reproducible.
    pub(super) rng: SmallRng,
}

impl Members {
    pub(super) fn new(now: Instant, own: MemberState, peer_port: u16, seeds: &[Ipv4Addr]) -> Self {
        let seeds: Vec<Ipv4Addr> = seeds.iter().copied().filter(|ip| *ip != own.ip).collect();
        Self {
            unheard: UnheardHosts::new(now, &seeds),
            seeds,
            rng: SmallRng::seed_from_u64(own.incarnation),
            own,
            peer_port,
            members: HashMap::new(),
            started_at: now,
            last_tick_at: now,
            ticks: 0,
            failover: Failover::default(),
            offered: Vec::new(),
            candidates: Candidates::new(now),
            loads: HostLoads::default(),
            unwatched_since: None,
            failed_fetches: HashMap::new(),
        }
    }

    /// Modifies this node's own state, which the next heartbeat announces.
    pub(super) fn update_own(&mut self, update: impl FnOnce(&mut MemberState)) {
        update(&mut self.own);
    }

    /// Incarnation of this process.
    pub(super) fn incarnation(&self) -> u64 {
        self.own.incarnation
    }

    /// Returns whether a heartbeat of that process has been received before.
    pub(super) fn knows(&self, ip: Ipv4Addr, incarnation: u64) -> bool {
        let known = self.members.get(&ip);
        known.is_some_and(|m| m.state.incarnation == incarnation)
    }

    /// Returns whether this node is shutting down.
    pub(super) fn is_leaving(&self) -> bool {
        self.own.is_leaving
    }

    pub(super) fn is_mesh(&self) -> bool {
        self.members.len() < MAX_MESH
    }

    pub(super) fn failure_timeout(&self) -> Duration {
        if self.is_mesh() {
            MESH_FAILURE_TIMEOUT
        } else {
            let times = self.members.len() as f64 / GOSSIP_TIMEOUT_NODES as f64;
            scaled(GOSSIP_FAILURE_TIMEOUT, times.max(1.0))
        }
    }

    pub(super) fn is_alive(&self, member: &Member, now: Instant) -> bool {
        now.saturating_duration_since(member.heard_at) < self.failure_timeout()
    }

    /// Returns whether callers may be given the node's address.
    fn is_offered(&self, node: &MemberState, now: Instant) -> bool {
        let timeout = self.failure_timeout().min(ADDRESS_TIMEOUT);
        let is_recent = |m: &Member| now.saturating_duration_since(m.heard_at) < timeout;
        let is_own = node.ip == self.own.ip;
        let is_recent = is_own || self.members.get(&node.ip).is_some_and(is_recent);
        node.takes_callers() && is_recent
    }

    /// Updates the nodes whose addresses callers are given; true if they changed.
    fn update_offered(&mut self, now: Instant) -> bool {
        let ranked = self.ranked(now);
        let offered = ranked.iter().filter(|n| self.is_offered(n, now));
        let offered: Vec<u64> = offered.take(MAX_ADDRESSES).map(|n| n.incarnation).collect();
        let changed = self.offered != offered;
        self.offered = offered;
        changed
    }

    fn alive(&self, now: Instant) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |m| self.is_alive(m, now))
    }

    /// Advances failure detection; true if the set of live nodes or the owner may have changed.
    ///
    /// After a stall of this process the timeout of every node is extended by the delay, since
    /// their heartbeats may still be unread.
    pub(super) fn on_tick(&mut self, now: Instant) -> bool {
        let late = now.saturating_duration_since(self.last_tick_at);
        if late > TICK + STALL_THRESHOLD {
            for member in self.members.values_mut() {
                member.heard_at += late;
            }
        }
        let before = self.last_tick_at;
        self.last_tick_at = now;
        self.ticks = self.ticks.wrapping_add(1);
        let running_before = self.running_nodes();
        self.expire(now);
        let claimed = self.check_suspicion(now);
        let claim_wait_ends = self.claim_wait_ends();
        let claim_wait_ended = before < claim_wait_ends && claim_wait_ends <= now;
        let mut members = self.members.values();
        let alive_changed = members.any(|m| self.is_alive(m, before) != self.is_alive(m, now));
        let alive_changed = alive_changed | self.update_offered(now) | self.update_candidates(now);
        let running_changed = self.running_nodes() != running_before;
        alive_changed || claimed || claim_wait_ended || running_changed
    }

    /// Removes silent nodes from the member list. Those that were not shutting down may be running
    /// on the other side of a network partition.
    fn expire(&mut self, now: Instant) {
        let unheard = &mut self.unheard;
        unheard.expire(now);
        self.members.retain(|ip, m| {
            let is_retained = now.saturating_duration_since(m.heard_at) < MEMBER_RETENTION;
            if !is_retained && !m.state.is_leaving {
                unheard.add(now, *ip);
            }
            is_retained
        });
    }

    /// Number of nodes that may be running, including this one and those that it cannot reach.
    pub(super) fn running_nodes(&self) -> usize {
        1 + self.members.len() + self.unheard.len()
    }

    /// Returns the live nodes including this one, and the incarnation of the owner; [`NO_OWNER`] if
    /// this node has just started and knows of no claim.
    pub(super) fn live_nodes(&self, now: Instant) -> (Vec<LiveNode>, u64) {
        let all = self.ranked(now);
        let owner = if self.awaits_claim(now, all[0]) {
            NO_OWNER
        } else {
            all[0].incarnation
        };
        let nodes = all.iter().map(|n| LiveNode {
            incarnation: n.incarnation,
            callers_addr: n.callers(),
            peer_addr: SocketAddr::from((n.ip, self.peer_port)),
            takes_callers: self.is_offered(n, now),
            domain: n.domain,
            cpu_milli: n.cpu_milli,
            is_watching: n.is_watching,
            load: self.loads.level(now, n.incarnation),
        });
        (nodes.collect(), owner)
    }

    /// Returns the live nodes, ranked by suitability as owner: nodes that accept callers come
    /// first, ordered by highest claim term, then CPU share, then age.
    ///
    /// So the owner changes only when it leaves or several nodes agree, and a restarted node does
    /// not take over from one that knows the running streams.
    pub(super) fn ranked(&self, now: Instant) -> Vec<&MemberState> {
        let mut all: Vec<&MemberState> = self.alive(now).map(|m| &m.state).collect();
        all.push(&self.own);
        all.sort_by_key(|n| {
            let strength = u32::MAX - n.cpu_milli;
            let claim = Reverse(n.term);
            (
                !n.takes_callers(),
                claim,
                strength,
                n.started_ms,
                n.incarnation,
            )
        });
        all
    }

    /// Returns how this node should watch the store, if at all: all nodes of a small fleet do, a few
    /// of a larger one, and more if too few of these get answers.
    ///
    /// If all nodes of a large fleet retried at once, a store that is down would receive several
    /// times the calls.
    pub(super) fn watch_role(&mut self, now: Instant) -> Option<WatchRole> {
        if now.saturating_duration_since(self.started_at) < self.watch_delay(now) {
            return None;
        }
        let ranked = self.ranked(now);
        if ranked.len() <= MAX_MESH {
            return Some(WatchRole::Leading);
        }
        let own = self.own.incarnation;
        let rank = ranked.iter().position(|n| n.incarnation == own)?;
        let is_leading = ranked[..rank].iter().all(|n| !n.is_watching);
        let watching = ranked
            .iter()
            .filter(|n| n.is_watching && n.incarnation != own);
        let is_watched = watching.count() >= MIN_WATCHING;
        let role = if is_leading {
            WatchRole::Leading
        } else {
            WatchRole::Standby
        };
        let most = self.max_watchers(now, is_watched);
        (rank < most).then_some(role)
    }

    /// Returns whether a host is this node's own or that of a live node.
    pub(super) fn is_live(&self, now: Instant, ip: Ipv4Addr) -> bool {
        let member = self.members.get(&ip);
        ip == self.own.ip || member.is_some_and(|m| self.is_alive(m, now))
    }

    /// Returns whether no other node is live.
    pub(super) fn is_alone(&self, now: Instant) -> bool {
        self.alive(now).next().is_none()
    }

    /// Returns how many of the live nodes that get answers from the store rank above this one; `None`
    /// if it gets none or is shutting down.
    pub(super) fn watcher_rank(&self, now: Instant) -> Option<u32> {
        if !self.own.is_watching || self.own.is_leaving {
            return None;
        }
        let ranked = self.ranked(now);
        let above = ranked
            .iter()
            .take_while(|n| n.incarnation != self.own.incarnation);
        let watching = above.filter(|n| n.is_watching && !n.is_leaving);
        u32::try_from(watching.count()).ok()
    }

    /// Returns the host of the first-ranked live node whose host satisfies the predicate; not one that
    /// is shutting down.
    pub(super) fn first_ranked(
        &self,
        now: Instant,
        predicate: impl Fn(Ipv4Addr) -> bool,
    ) -> Option<Ipv4Addr> {
        let ranked = self.ranked(now);
        let mut staying = ranked.iter().filter(|n| !n.is_leaving);
        staying.find(|n| predicate(n.ip)).map(|n| n.ip)
    }

    fn watch_delay(&self, now: Instant) -> Duration {
        let is_stronger = |m: &Member| m.state.cpu_milli > self.own.cpu_milli;
        if !self.is_mesh() && self.alive(now).any(is_stronger) {
            WEAKER_NODE_WATCH_DELAY
        } else {
            WATCH_DELAY
        }
    }

    /// Returns how many of the highest-ranked nodes may watch the store.
    fn max_watchers(&mut self, now: Instant, is_watched: bool) -> usize {
        if is_watched {
            self.unwatched_since = None;
            return WATCHERS;
        }
        let since = *self.unwatched_since.get_or_insert(now);
        let steps = now
            .saturating_duration_since(since)
            .div_duration_f64(WATCHERS_DOUBLE_INTERVAL);
        let doubled = STANDBY_WATCHERS << (steps as u32).min(8);
        doubled.min(MAX_WATCHERS)
    }

    /// Latest configuration version in force on another live node; 0 if there is none.
    pub(super) fn newest_configuration(&self, now: Instant) -> u64 {
        let versions = self.alive(now).map(|m| m.state.configuration);
        versions.max().unwrap_or(0)
    }

    /// Returns whether another live node has been serving for longer than a fleet takes to start.
    pub(super) fn has_settled(&self, now: Instant) -> bool {
        self.alive(now).any(|m| m.state.is_settled)
    }

    /// Returns whether another live node has all targets.
    pub(super) fn has_provider(&self, now: Instant) -> bool {
        self.alive(now).any(|m| m.state.has_all_targets())
    }

    /// Records that a node did not answer a fetch.
    pub(super) fn on_fetch_failed(&mut self, now: Instant, node: Ipv4Addr) {
        self.failed_fetches.insert(node, now);
    }

    /// Chooses a random live node that satisfies the predicate and returns its peer address. Nodes
    /// of the own failure domain take precedence: responses may be large, and bandwidth between
    /// domains is scarce and expensive. Those that did not answer lately come last, since a node
    /// that sends heartbeats does not always answer calls.
    pub(super) fn choose_peer(
        &mut self,
        now: Instant,
        predicate: impl Fn(&MemberState) -> bool,
    ) -> Option<SocketAddr> {
        self.failed_fetches
            .retain(|_, at| now.saturating_duration_since(*at) < FAILED_FETCH_MEMORY);
        let rank = |n: &MemberState| {
            let has_failed = self.failed_fetches.contains_key(&n.ip);
            (has_failed, n.domain != self.own.domain)
        };
        let alive = self.alive(now).filter(|m| predicate(&m.state));
        let ranked = alive.map(|m| (rank(&m.state), m.state.ip));
        let ranked: Vec<((bool, bool), Ipv4Addr)> = ranked.collect();
        let best = ranked.iter().map(|(rank, _)| *rank).min()?;
        let better = ranked.iter().filter(|(rank, _)| *rank == best);
        let better: Vec<Ipv4Addr> = better.map(|(_, ip)| *ip).collect();
        let ip = *better.choose(&mut self.rng)?;
        Some(SocketAddr::from((ip, self.peer_port)))
    }
}
