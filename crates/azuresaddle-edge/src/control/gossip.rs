//! How the state of nodes spreads.
//!
//! In a larger fleet a heartbeat carries the whole state of a few nodes and heartbeat digests of many.
//! Whoever gets a digest of a node that it does not know asks the sender for the rest.

use std::net::Ipv4Addr;

use rand::seq::{IndexedRandom, SliceRandom};
use tokio::time::Instant;

use super::heartbeat::{
    Heartbeat, HeartbeatDigest, MAX_DIGESTS, MAX_FULL_STATES, MAX_REQUESTED_STATES, MemberState,
};
use super::members::{Member, Members};

/// Partners of a heartbeat in a larger fleet: with digests of 70 nodes each, what one node says is
/// known to 90 after about three rounds.
const FANOUT: usize = 4;

/// Partners among them that are of another failure domain: a domain of dozens of nodes still hears of the others dozens
/// of times a round, and bytes between domains are dear.
const CROSS_DOMAIN_FANOUT: usize = 1;

/// Ticks between two rounds of heartbeats in a larger fleet.
const TICKS_PER_ROUND: u32 = 2;

/// Nodes by chance among those whose whole state is told, so that a change that was missed is made
/// up although later ones crowd it out.
const RANDOM_STATES: usize = MAX_FULL_STATES / 2;

impl Members {
    /// The own heartbeat, with the state of other live nodes.
    pub(super) fn heartbeat(&mut self, now: Instant) -> Heartbeat {
        self.own.counter = self.own.counter.wrapping_add(1);
        let failure_timeout = self.failure_timeout();
        let fresh = |m: &&Member| now.saturating_duration_since(m.heard_at) < failure_timeout;
        let mut alive: Vec<&Member> = self.members.values().filter(fresh).collect();
        alive.sort_by_key(|m| m.state.ip);
        // Many are heard of in the same moment; by chance among them none are always crowded out.
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

    /// The own heartbeat without the state of others.
    pub(super) fn bare_heartbeat(&mut self) -> Heartbeat {
        self.own.counter = self.own.counter.wrapping_add(1);
        Heartbeat {
            from: self.own.clone(),
            others: Vec::new(),
            digests: Vec::new(),
        }
    }

    /// Hosts of all live nodes but this one.
    pub(super) fn alive_hosts(&self, now: Instant) -> Vec<Ipv4Addr> {
        let alive = self.members.values().filter(|m| self.is_alive(m, now));
        alive.map(|m| m.state.ip).collect()
    }

    /// Takes a heartbeat from a host; true where it changes who is alive or what it offers.
    pub(super) fn on_heartbeat(&mut self, now: Instant, from: Ipv4Addr, beat: &Heartbeat) -> bool {
        if beat.from.ip != from {
            return false;
        }
        let mut changed = self.merge_state(now, &beat.from, true);
        for state in &beat.others {
            changed |= self.merge_state(now, state, false);
        }
        for digest in &beat.digests {
            changed |= self.merge_digest(now, digest);
        }
        changed
    }

    /// Takes the whole state of nodes from another one.
    pub(super) fn on_states(&mut self, now: Instant, all: &[MemberState]) -> bool {
        all.iter().fold(false, |changed, state| {
            self.merge_state(now, state, false) | changed
        })
    }

    /// Hosts in a heartbeat of which the sender knows more than heartbeat digests.
    pub(super) fn hosts_to_request(&self, beat: &Heartbeat) -> Vec<Ipv4Addr> {
        let is_unknown = |s: &&HeartbeatDigest| {
            s.ip != self.own.ip && self.members.get(&s.ip).is_none_or(|m| differs(m, s))
        };
        let unknown = beat.digests.iter().filter(is_unknown).map(|s| s.ip);
        unknown.take(MAX_REQUESTED_STATES).collect()
    }

    /// The whole state of hosts, as far as they are alive.
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
        // A later heartbeat digest may have come before this state.
        let later_digest = same_process.filter(|m| m.last_counter >= state.counter);
        let (last_counter, heard_at) =
            later_digest.map_or((state.counter, now), |m| (m.last_counter, m.heard_at));
        let same_offer = same_process.filter(|m| {
            m.state.takes_callers() == state.takes_callers() && m.state.term == state.term
        });
        let changed = !same_offer.is_some_and(|m| self.is_alive(m, now));
        let same_state = same_offer.filter(|m| m.state.is_watching == state.is_watching);
        let member = Member {
            last_counter,
            heard_at,
            changed_at: same_state.map_or(now, |m| m.changed_at),
            state: state.clone(),
        };
        self.members.insert(member.state.ip, member);
        changed
    }

    /// Takes a heartbeat digest of a node that is known; true where it was taken for gone.
    ///
    /// One that tells of another state counts only with the whole state: passed on with the old state
    /// it would make every node that knows better ask again and again.
    fn merge_digest(&mut self, now: Instant, digest: &HeartbeatDigest) -> bool {
        let Some(member) = self.members.get(&digest.ip) else {
            return false;
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

    /// Hosts to send a heartbeat to now.
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

    /// A few hosts at random, for what should spread at once.
    pub(super) fn gossip_peers(&mut self) -> Vec<Ipv4Addr> {
        let mut all: Vec<&MemberState> = self.members.values().map(|m| &m.state).collect();
        all.sort_unstable_by_key(|n| n.ip);
        all.shuffle(&mut self.rng);
        if !self.is_mesh() {
            let is_far = |n: &MemberState| n.domain != self.own.domain;
            let (far, near): (Vec<&MemberState>, Vec<&MemberState>) =
                all.into_iter().partition(|n| is_far(n));
            // Where one kind is too small the other makes it up.
            let near_count = near.len().min(FANOUT - CROSS_DOMAIN_FANOUT.min(far.len()));
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

/// Whether a heartbeat digest tells of another process or state than the one that is known.
fn differs(member: &Member, digest: &HeartbeatDigest) -> bool {
    let is_later = digest.counter > member.state.counter;
    let same_state = digest.state.matches(&member.state);
    !is_same_process(member, digest) || (is_later && !same_state)
}

/// Whether a state of a node replaces an older one.
fn is_newer(known: &MemberState, state: &MemberState, is_direct: bool) -> bool {
    if known.incarnation == state.incarnation {
        return state.counter > known.counter;
    }
    // A restarted process may have a clock that was set back; what it says itself counts.
    is_direct || state.started_ms > known.started_ms
}
