//! Which nodes are alive, and which of them places streams.
//!
//! A small fleet exchanges heartbeats between all nodes. In a larger one each node sends to a few
//! partners, who pass on what they heard, so that its messages don't grow with the fleet.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use tokio::time::Instant;

use super::failover::Failover;
use super::heartbeat::MemberState;
use crate::snapshot::{LiveNode, NO_OWNER};

/// Time between two looks at the members.
pub(super) const TICK: Duration = Duration::from_millis(100);

/// Most nodes that exchange heartbeats with all others.
const MAX_MESH: usize = 12;

/// Silence after which a node of a small fleet counts as gone: four lost heartbeats, so that the
/// loss of single datagrams moves nothing.
const MESH_FAILURE_TIMEOUT: Duration = Duration::from_millis(450);

/// Silence after which a node of a larger fleet counts as gone: many rounds, since a digest takes several hops and
/// may be crowded out on the way.
const GOSSIP_FAILURE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Nodes up to which that silence holds; beyond, each is heard of less often, and the silence grows
/// with the fleet.
const GOSSIP_TIMEOUT_NODES: usize = 250;

/// Silence after which a node is forgotten.
const MEMBER_RETENTION: Duration = Duration::from_secs(20);

/// Delay of the own clock above which silence says nothing, since this process did not run.
const STALL_THRESHOLD: Duration = Duration::from_millis(250);

/// Nodes of a larger fleet that follow the store for all.
const WATCHERS: usize = 4;

/// Fewest nodes that must say that the store answers them before others leave it alone.
const MIN_WATCHING: usize = 2;

/// Nodes that follow the store at once where too few are answered: enough that several reach a store that
/// turns a third of the nodes away.
const STANDBY_WATCHERS: usize = 16;

/// Most nodes that follow the store: a store that is down is not to be met by all of a large fleet.
const MAX_WATCHERS: usize = 64;

/// Time after which twice as many nodes try.
const WATCHERS_DOUBLE_INTERVAL: Duration = Duration::from_millis(500);

/// Time after its start for which a node does not watch the store that it has just read: by then it knows
/// whether others do.
const WATCH_DELAY: Duration = Duration::from_millis(500);

/// Another node.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) state: MemberState,
    /// Number of its latest heartbeat that was heard of, by its state or by a heartbeat digest.
    pub(super) last_counter: u32,
    pub(super) heard_at: Instant,
    /// When it came, restarted, or began or ceased to take callers or to follow the store.
    pub(super) changed_at: Instant,
}

/// The other nodes by host.
#[derive(Debug)]
pub(super) struct Members {
    pub(super) own: MemberState,
    peer_port: u16,
    pub(super) seeds: Vec<Ipv4Addr>,
    pub(super) members: HashMap<Ipv4Addr, Member>,
    /// When this process began to listen.
    pub(super) started_at: Instant,
    last_tick_at: Instant,
    pub(super) ticks: u32,
    pub(super) failover: Failover,
    /// Since when too few nodes are answered by the store.
    unwatched_since: Option<Instant>,
    /// Chooses partners; seeded by the incarnation, so that tests repeat.
    pub(super) rng: SmallRng,
}

impl Members {
    pub(super) fn new(now: Instant, own: MemberState, peer_port: u16, seeds: &[Ipv4Addr]) -> Self {
        Self {
            seeds: seeds.iter().copied().filter(|ip| *ip != own.ip).collect(),
            rng: SmallRng::seed_from_u64(own.incarnation),
            own,
            peer_port,
            members: HashMap::new(),
            started_at: now,
            last_tick_at: now,
            ticks: 0,
            failover: Failover::default(),
            unwatched_since: None,
        }
    }

    /// Changes what the next own heartbeat says.
    pub(super) fn update_own(&mut self, update: impl FnOnce(&mut MemberState)) {
        update(&mut self.own);
    }

    /// Random number of this process.
    pub(super) fn incarnation(&self) -> u64 {
        self.own.incarnation
    }

    /// Whether a heartbeat of that process came before.
    pub(super) fn knows(&self, ip: Ipv4Addr, incarnation: u64) -> bool {
        let known = self.members.get(&ip);
        known.is_some_and(|m| m.state.incarnation == incarnation)
    }

    /// Whether this node is stopping.
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
            GOSSIP_FAILURE_TIMEOUT.mul_f64(times.max(1.0))
        }
    }

    pub(super) fn is_alive(&self, member: &Member, now: Instant) -> bool {
        now.saturating_duration_since(member.heard_at) < self.failure_timeout()
    }

    fn alive(&self, now: Instant) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |m| self.is_alive(m, now))
    }

    /// Notes the passing of time; true where a node may have fallen silent.
    ///
    /// After a stall of this process every node gets the time again, since their heartbeats may
    /// wait unread.
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
        self.members
            .retain(|_, m| now.saturating_duration_since(m.heard_at) < MEMBER_RETENTION);
        let claimed = self.check_suspicion(now);
        let patience_ends = self.claim_wait_ends();
        let patience_ended = before < patience_ends && patience_ends <= now;
        let mut members = self.members.values();
        let alive_changed = members.any(|m| self.is_alive(m, before) != self.is_alive(m, now));
        alive_changed || claimed || patience_ended
    }

    /// Live nodes, this one among them, and the incarnation of the one that places streams; [`NO_OWNER`] in
    /// a node that has just started and hears of no claim.
    pub(super) fn live_nodes(&self, now: Instant) -> (Vec<LiveNode>, u64) {
        let all = self.ranked(now);
        let owner = if self.awaits_claim(now, all[0]) {
            NO_OWNER
        } else {
            all[0].incarnation
        };
        let nodes = all.iter().map(|n| LiveNode {
            incarnation: n.incarnation,
            callers: n.callers(),
            peer: SocketAddr::from((n.ip, self.peer_port)),
            takes_callers: n.takes_callers(),
        });
        (nodes.collect(), owner)
    }

    /// Live nodes, the best owner first: the latest to have claimed, else the oldest of the strongest. So
    /// the owner changes only when it goes or several nodes agree, and a restarted node does not take
    /// over from one that knows the running streams.
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

    /// Whether this node should follow the store itself: all do in a small fleet, a few in a larger one,
    /// and more where too few of these are answered.
    ///
    /// With all nodes of a large fleet trying at once a store that is down gets several times the calls.
    pub(super) fn should_watch(&mut self, now: Instant) -> bool {
        if now.saturating_duration_since(self.started_at) < WATCH_DELAY {
            return false;
        }
        let ranked = self.ranked(now);
        if ranked.len() <= MAX_MESH {
            return true;
        }
        let own = self.own.incarnation;
        let rank = ranked.iter().position(|n| n.incarnation == own);
        let watching = ranked
            .iter()
            .filter(|n| n.is_watching && n.incarnation != own);
        let is_watched = watching.count() >= MIN_WATCHING;
        let most = self.max_watchers(now, is_watched);
        rank.is_some_and(|r| r < most)
    }

    /// How many nodes follow the store now, the best owners first.
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

    /// The latest configuration that a live node has in force; 0 where none has any.
    pub(super) fn newest_configuration(&self, now: Instant) -> u64 {
        let versions = self.alive(now).map(|m| m.state.configuration);
        versions.max().unwrap_or(0)
    }

    /// Whether a live node has served for longer than a fleet takes to start.
    pub(super) fn has_settled(&self, now: Instant) -> bool {
        self.alive(now).any(|m| m.state.is_settled)
    }

    /// Address of a live node that knows more, one of the own failure domain where there is one: what is
    /// fetched may be large, and the way to other domains is narrow and dear.
    pub(super) fn choose_peer(
        &mut self,
        now: Instant,
        predicate: impl Fn(&MemberState) -> bool,
    ) -> Option<SocketAddr> {
        let alive = self.alive(now).filter(|m| predicate(&m.state));
        let (near, far): (Vec<&MemberState>, Vec<&MemberState>) = alive
            .map(|m| &m.state)
            .partition(|n| n.domain == self.own.domain);
        let better = if near.is_empty() { far } else { near };
        let better: Vec<Ipv4Addr> = better.into_iter().map(|n| n.ip).collect();
        let ip = *better.choose(&mut self.rng)?;
        Some(SocketAddr::from((ip, self.peer_port)))
    }
}
