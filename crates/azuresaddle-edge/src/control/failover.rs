//! Replacement of an owner that does not answer.
//!
//! Guards against an owner that stalls, or that some nodes cannot reach, in a fleet of hundreds.
//! When each node chose the next owner on its own, two nodes placed streams on the same engines for
//! two seconds without knowledge of each other's streams; the second one placed a fifth of them.
//!
//! So a node that suspects the owner sends a vote to the node that would succeed it. The successor
//! takes over when several nodes agree: it claims ownership with a higher term and announces it to
//! all nodes. An earlier owner that receives the higher term yields.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use tokio::time::Instant;

use super::heartbeat::{MemberState, Vote};
use super::members::Members;

/// Maximum number of votes needed to replace an owner. One node, or two behind the same broken
/// switch port, may have lost their own connection.
const MAX_VOTES: usize = 3;

/// Time for which a vote is valid: nodes notice an unresponsive owner by their own calls, within
/// two reports.
const VOTE_TTL: Duration = Duration::from_millis(1000);

/// Time after its last unanswered call for which a node suspects the owner.
const SUSPICION_TTL: Duration = Duration::from_millis(1000);

/// Time that a successor gets to take over before the next one is notified: many round trips.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which a successor that did not take over is skipped.
const SKIP_DURATION: Duration = Duration::from_secs(2);

/// Time after the start of the process for which it waits for a claim before it uses the
/// highest-ranked node as owner. By then the strongest hosts have the configuration if hundreds
/// start together. It takes only a part of the time that callers wait.
const CLAIM_WAIT: Duration = Duration::from_millis(1000);

/// Failover state of a node: its own suspicion, and the votes of others.
#[derive(Debug, Default)]
pub(super) struct Failover {
    /// This node's suspicion of the owner.
    suspicion: Option<Suspicion>,
    /// Successors that did not take over, and until when they are skipped.
    skipped: HashMap<u64, Instant>,
    /// Owner that the votes are against.
    voted_owner: u64,
    /// Latest vote of each node.
    votes: HashMap<u64, Instant>,
}

/// A suspected owner that did not answer this node.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    owner: u64,
    /// When the current successor was first notified.
    since: Instant,
    /// When the owner last failed to answer.
    renewed_at: Instant,
}

impl Members {
    /// Records that the owner did not answer a call; true if this node takes over as a result.
    pub(super) fn on_unresponsive_owner(&mut self, now: Instant, incarnation: u64) -> bool {
        let is_owner = self.ranked(now)[0].incarnation == incarnation;
        if !is_owner || incarnation == self.own.incarnation {
            return false;
        }
        let known = self.failover.suspicion;
        let since = known.filter(|s| s.owner == incarnation).map(|s| s.since);
        self.failover.suspicion = Some(Suspicion {
            owner: incarnation,
            since: since.unwrap_or(now),
            renewed_at: now,
        });
        self.check_suspicion(now)
    }

    /// Returns the vote to send and the successor's host; `None` if this node does not suspect the owner.
    pub(super) fn vote(&self, now: Instant) -> Option<(Ipv4Addr, Vote)> {
        let suspicion = self.failover.suspicion?;
        let successor = self.successor(now, suspicion.owner)?;
        let vote = Vote {
            voter: self.own.incarnation,
            owner: suspicion.owner,
        };
        (successor.incarnation != self.own.incarnation).then_some((successor.ip, vote))
    }

    /// Counts a vote against the owner; true if this node takes over as a result.
    pub(super) fn on_vote(&mut self, now: Instant, vote: Vote) -> bool {
        let owner = self.ranked(now)[0].incarnation;
        if vote.owner != owner || owner == self.own.incarnation || !self.own.takes_callers() {
            return false;
        }
        let needed = self.votes_needed(now);
        let failover = &mut self.failover;
        if failover.voted_owner != owner {
            failover.voted_owner = owner;
            failover.votes.clear();
        }
        failover.votes.insert(vote.voter, now);
        let is_fresh = |at: &Instant| now.saturating_duration_since(*at) < VOTE_TTL;
        failover.votes.retain(|_, at| is_fresh(at));
        if failover.votes.len() < needed {
            return false;
        }
        self.claim(now);
        true
    }

    /// Expires or escalates this node's suspicion; true if this node takes over as a result.
    pub(super) fn check_suspicion(&mut self, now: Instant) -> bool {
        self.failover.skipped.retain(|_, until| now < *until);
        let Some(suspicion) = self.failover.suspicion else {
            return false;
        };
        let is_owner = self.ranked(now)[0].incarnation == suspicion.owner;
        if !is_owner || now.saturating_duration_since(suspicion.renewed_at) >= SUSPICION_TTL {
            self.failover.suspicion = None;
            return false;
        }
        let successor = self.successor(now, suspicion.owner).map(|n| n.incarnation);
        if successor == Some(self.own.incarnation) {
            let voter = self.own.incarnation;
            let owner = suspicion.owner;
            return self.on_vote(now, Vote { voter, owner });
        }
        if now.saturating_duration_since(suspicion.since) >= SUCCESSOR_TIMEOUT {
            let until = now + SKIP_DURATION;
            let failover = &mut self.failover;
            failover.skipped.extend(successor.map(|s| (s, until)));
            failover.suspicion = Some(Suspicion {
                since: now,
                ..suspicion
            });
        }
        false
    }

    /// Returns whether this node, which has just started, should wait for a claim rather than use
    /// the best of the few nodes that it knows as owner.
    ///
    /// While a whole fleet starts, the best known node changes with each new heartbeat, and none of
    /// these nodes knows the streams that the others placed.
    pub(super) fn awaits_claim(&self, now: Instant, first: &MemberState) -> bool {
        first.term == 0 && now < self.claim_wait_ends()
    }

    /// When this node stops waiting for a claim.
    pub(super) fn claim_wait_ends(&self) -> Instant {
        self.started_at + CLAIM_WAIT
    }

    /// Claims ownership if this node ranks first and has not claimed it yet; true if it did.
    ///
    /// When a whole fleet started without claims, the owner changed from one node to the next:
    /// always the best of those that had a configuration by then. A weak host does not claim while
    /// a stronger one is live, since a claim is permanent.
    pub(super) fn claim_if_first(&mut self, now: Instant) -> bool {
        let is_first = self.ranked(now)[0].incarnation == self.own.incarnation;
        if !is_first || self.own.term > 0 || !self.own.takes_callers() {
            return false;
        }
        let mut others = self.members.values().filter(|m| self.is_alive(m, now));
        let is_alone = others.clone().next().is_none();
        if is_alone || others.any(|m| m.state.cpu_milli > self.own.cpu_milli) {
            return false;
        }
        self.claim(now);
        true
    }

    /// Claims ownership with a term above all known ones, unless one of them is the highest possible.
    fn claim(&mut self, now: Instant) {
        let highest = self.members.values().map(|m| m.state.term).max();
        self.own.term = highest.unwrap_or(0).max(self.own.term).saturating_add(1);
        let votes = self.failover.votes.len();
        tracing::info!(
            part = "control",
            term = self.own.term,
            votes,
            "ownership claimed"
        );
        self.failover = Failover::default();
        debug_assert!(
            self.own.term == u32::MAX || self.ranked(now)[0].incarnation == self.own.incarnation
        );
    }

    /// The node that would be the owner without the current one.
    fn successor(&self, now: Instant, owner: u64) -> Option<&MemberState> {
        let skipped = &self.failover.skipped;
        let mut others = self.ranked(now).into_iter();
        others.find(|n| n.incarnation != owner && !skipped.contains_key(&n.incarnation))
    }

    /// Number of votes needed: half of the nodes other than the owner, rounded up, and at most
    /// `MAX_VOTES`.
    fn votes_needed(&self, now: Instant) -> usize {
        let others = self.ranked(now).len() - 1;
        others.div_ceil(2).clamp(1, MAX_VOTES)
    }
}
