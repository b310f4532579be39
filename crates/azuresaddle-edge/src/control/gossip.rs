//! Gossip of node states by heartbeats.
//!
//! In a larger fleet a heartbeat carries the full state of a few nodes and digests of many. A node
//! that receives a digest of an unknown node, or of an unknown state, requests the full state from
//! the sender.

use std::net::Ipv4Addr;

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use tokio::time::Instant;

use super::heartbeat::{
    Heartbeat, HeartbeatDigest, MAX_DIGESTS, MAX_FULL_STATES, MAX_REQUESTED_STATES, MemberState,
};
use super::members::{Member, Members};

/// Number of gossip peers per round in a larger fleet: with 70 digests per heartbeat, a state
/// reaches 90 nodes after about three rounds.
const FANOUT: usize = 4;

/// Number of these peers that are in another failure domain. Dozens of nodes in one domain still
/// receive dozens of heartbeats from others per round, and traffic between domains is expensive.
const CROSS_DOMAIN_FANOUT: usize = 1;

/// Mean number of nodes of a failure domain that send to another domain in a round. More of them would
/// add traffic between domains, but no information.
const CROSS_DOMAIN_SENDERS: f64 = 60.0;

/// Ticks per gossip round in a larger fleet.
const TICKS_PER_ROUND: u32 = 2;

/// Number of full states in a heartbeat that are chosen at random, so that a node that missed a
/// change still receives it when later changes displace it.
const RANDOM_STATES: usize = MAX_FULL_STATES / 2;

impl Members {
    /// Creates the next heartbeat, with the state of other live nodes.
    pub(super) fn heartbeat(&mut self, now: Instant) -> Heartbeat {
        self.own.counter = self.own.counter.wrapping_add(1);
        let failure_timeout = self.failure_timeout();
        let fresh = |m: &&Member| now.saturating_duration_since(m.heard_at) < failure_timeout;
        let mut alive: Vec<&Member> = self.members.values().filter(fresh).collect();
        alive.sort_by_key(|m| m.state.ip);
        // Many nodes have the same `heard_at`; shuffling keeps the same ones from always being left
        // out.
        alive.shuffle(&mut self.rng);
        alive.sort_by_key(|m| std::cmp::Reverse(m.heard_at));
        let digests = alive.iter().take(MAX_DIGESTS);
        let digests = digests
            .map(|m| HeartbeatDigest::new(&m.state, m.last_counter))
            .collect();
        let random = alive.choose_multiple(&mut self.rng, RANDOM_STATES);
        let mut others: Vec<MemberState> = random.map(|m| m.state.clone()).collect();
        alive.sort_by_key(|m| std::cmp::Reverse(m.changed_at));
        let changed = alive.iter().take(MAX_FULL_STATES - others.len());
        others.extend(changed.map(|m| m.state.clone()));
        Heartbeat {
            from: self.own.clone(),
            others,
            digests,
        }
    }

    /// Creates the next heartbeat, without the state of other nodes.
    pub(super) fn bare_heartbeat(&mut self) -> Heartbeat {
        self.own.counter = self.own.counter.wrapping_add(1);
        Heartbeat {
            from: self.own.clone(),
            others: Vec::new(),
            digests: Vec::new(),
        }
    }

    /// Hosts of all other live nodes.
    pub(super) fn alive_hosts(&self, now: Instant) -> Vec<Ipv4Addr> {
        let alive = self.members.values().filter(|m| self.is_alive(m, now));
        alive.map(|m| m.state.ip).collect()
    }

    /// Applies a heartbeat from a host; true if it changes which nodes are live, what they offer or
    /// how many may be running.
    pub(super) fn on_heartbeat(
        &mut self,
        now: Instant,
        from: Ipv4Addr,
        heartbeat: &Heartbeat,
    ) -> bool {
        if heartbeat.from.ip != from {
            return false;
        }
        let mut changed = self.merge_state(now, &heartbeat.from, true);
        for state in &heartbeat.others {
            changed |= self.merge_state(now, state, false);
        }
        for digest in &heartbeat.digests {
            changed |= self.merge_digest(now, digest);
        }
        changed
    }

    /// Applies full states that another node sent; true if they change which nodes are live or what
    /// they offer.
    pub(super) fn on_states(&mut self, now: Instant, all: &[MemberState]) -> bool {
        all.iter().fold(false, |changed, state| {
            self.merge_state(now, state, false) | changed
        })
    }

    /// Hosts in a heartbeat whose full state should be requested from the sender.
    pub(super) fn hosts_to_request(&self, heartbeat: &Heartbeat) -> Vec<Ipv4Addr> {
        let is_unknown = |s: &&HeartbeatDigest| {
            s.ip != self.own.ip && self.members.get(&s.ip).is_none_or(|m| differs(m, s))
        };
        let unknown = heartbeat.digests.iter().filter(is_unknown).map(|s| s.ip);
        unknown.take(MAX_REQUESTED_STATES).collect()
    }

    /// Full states of those of the hosts that are live.
    pub(super) fn states_of(&self, now: Instant, hosts: &[Ipv4Addr]) -> Vec<MemberState> {
        let known = hosts.iter().filter_map(|ip| self.members.get(ip));
        let alive = known.filter(|m| self.is_alive(m, now));
        alive
            .take(MAX_REQUESTED_STATES)
            .map(|m| m.state.clone())
            .collect()
    }

    fn merge_state(&mut self, now: Instant, state: &MemberState, is_direct: bool) -> bool {
        if state.ip == self.own.ip {
            return false;
        }
        let known = self.members.get(&state.ip);
        if !known.is_none_or(|m| is_newer(&m.state, state, is_direct)) {
            return false;
        }
        let same_process = known.filter(|m| m.state.incarnation == state.incarnation);
        // A later digest may have arrived before this state.
        let later_digest = same_process.filter(|m| m.last_counter >= state.counter);
        let (last_counter, heard_at) =
            later_digest.map_or((state.counter, now), |m| (m.last_counter, m.heard_at));
        let same_offer = same_process.filter(|m| {
            m.state.takes_callers() == state.takes_callers() && m.state.term == state.term
        });
        let changed = !same_offer.is_some_and(|m| self.is_alive(m, now));
        let same_state = same_offer.filter(|m| {
            m.state.is_watching == state.is_watching
                && m.state.has_all_targets() == state.has_all_targets()
        });
        let member = Member {
            last_counter,
            heard_at,
            changed_at: same_state.map_or(now, |m| m.changed_at),
            state: state.clone(),
        };
        self.unheard.remove(member.state.ip);
        self.members.insert(member.state.ip, member);
        changed
    }

    /// Applies a digest; true if the node was considered failed or unknown.
    ///
    /// A digest with a different state tag counts only once the full state is known: relayed
    /// together with the outdated state, it would make every better informed node request the state
    /// over and over.
    fn merge_digest(&mut self, now: Instant, digest: &HeartbeatDigest) -> bool {
        let Some(member) = self.members.get(&digest.ip) else {
            return digest.ip != self.own.ip && self.unheard.add(now, digest.ip);
        };
        if differs(member, digest) || digest.counter <= member.last_counter {
            return false;
        }
        let was_gone = !self.is_alive(member, now);
        if let Some(member) = self.members.get_mut(&digest.ip) {
            member.last_counter = digest.counter;
            member.heard_at = now;
        }
        was_gone
    }

    /// Hosts to send a heartbeat to in this tick.
    pub(super) fn heartbeat_destinations(&mut self) -> Vec<Ipv4Addr> {
        if self.is_mesh() {
            let mut all: Vec<Ipv4Addr> = self.members.keys().copied().collect();
            all.extend(&self.seeds);
            all.sort_unstable();
            all.dedup();
            return all;
        }
        if !self.ticks.is_multiple_of(TICKS_PER_ROUND) {
            return Vec::new();
        }
        self.gossip_peers()
    }

    /// Random hosts that receive changes to be gossiped at once.
    pub(super) fn gossip_peers(&mut self) -> Vec<Ipv4Addr> {
        let mut all: Vec<&MemberState> = self.members.values().map(|m| &m.state).collect();
        all.sort_unstable_by_key(|n| n.ip);
        all.shuffle(&mut self.rng);
        if !self.is_mesh() {
            let is_far = |n: &MemberState| n.domain != self.own.domain;
            let (far, near): (Vec<&MemberState>, Vec<&MemberState>) =
                all.into_iter().partition(|n| is_far(n));
            let sender_share = CROSS_DOMAIN_SENDERS / near.len().max(1) as f64;
            let far_count = if self.rng.random_bool(sender_share.min(1.0)) {
                CROSS_DOMAIN_FANOUT
            } else {
                0
            };
            // If there are too few nodes of one kind, nodes of the other kind take their place.
            let near_count = near.len().min(FANOUT - far_count.min(far.len()));
            let near = near.into_iter().take(near_count);
            all = near
                .chain(far.into_iter().take(FANOUT - near_count))
                .collect();
        }
        all.into_iter().map(|n| n.ip).collect()
    }
}

fn is_same_process(member: &Member, digest: &HeartbeatDigest) -> bool {
    member.state.incarnation as u16 == digest.process
}

/// Returns whether a digest shows another process or state than the known one.
fn differs(member: &Member, digest: &HeartbeatDigest) -> bool {
    let is_later = digest.counter > member.state.counter;
    let same_state = digest.state.matches(&member.state);
    !is_same_process(member, digest) || (is_later && !same_state)
}

/// Returns whether a state replaces the known one.
fn is_newer(known: &MemberState, state: &MemberState, is_direct: bool) -> bool {
    if known.incarnation == state.incarnation {
        return state.counter > known.counter;
    }
    // The clock of a restarted process may have been set back, so its own heartbeats always count.
    is_direct || state.started_ms > known.started_ms
}
