//! Who places streams after an owner that does not answer.
//!
//! Answers the pattern of an owner that stalls, or that some nodes can't reach, in a fleet of hundreds.
//! When each node on its own took the next one for the owner, two nodes placed on the same engines for two
//! seconds, neither with knowledge of the other's streams, a fifth of the streams by the second. So a node
//! votes with the one that would succeed. That one takes over when several agree, with a higher term, and
//! tells everybody; an earlier owner that hears of the term yields.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use tokio::time::Instant;

use super::heartbeat::{MemberState, Vote};
use super::members::Members;

/// Most votes that it takes to replace an owner: one node, or two behind one broken switch port, say
/// more of themselves than of the owner.
const MAX_VOTES: usize = 3;

/// Age up to which a vote counts: nodes find the silence with their own calls, within two reports.
const VOTE_TTL: Duration = Duration::from_millis(1000);

/// Time after its last call without an answer for which a node suspects the owner.
const SUSPICION_TTL: Duration = Duration::from_millis(1000);

/// Time that a successor gets to take over before the next one is asked: many round trips.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which a successor that did not take over is passed over.
const SKIP_DURATION: Duration = Duration::from_secs(2);

/// Time after its start for which a node without a claim to go by asks nobody: until then the strongest
/// hosts have the configuration where hundreds start together; a part of what callers wait.
const CLAIM_WAIT: Duration = Duration::from_millis(1000);

/// What is known of an owner that may have gone silent.
#[derive(Debug, Default)]
pub(super) struct Failover {
    /// The own suspicion.
    suspicion: Option<Suspicion>,
    /// Successors that did not take over, and until when they are passed over.
    skipped: HashMap<u64, Instant>,
    /// Owner that the votes are about.
    voted_owner: u64,
    /// When each node voted last.
    votes: HashMap<u64, Instant>,
}

/// An owner that did not answer this node.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    owner: u64,
    /// When the present successor was first told.
    since: Instant,
    /// When the owner last gave no answer.
    renewed_at: Instant,
}

impl Members {
    /// Notes that the owner did not answer a call; true where this node takes over by it.
    pub(super) fn on_no_answer(&mut self, now: Instant, incarnation: u64) -> bool {
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

    /// Where to tell of the silent owner, and what; `None` where this node suspects nobody.
    pub(super) fn vote(&self, now: Instant) -> Option<(Ipv4Addr, Vote)> {
        let suspicion = self.failover.suspicion?;
        let successor = self.successor(now, suspicion.owner)?;
        let vote = Vote {
            voter: self.own.incarnation,
            owner: suspicion.owner,
        };
        (successor.incarnation != self.own.incarnation).then_some((successor.ip, vote))
    }

    /// Takes a vote against an owner that does not answer; true where this node takes over.
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

    /// Follows the own suspicion as time passes; true where this node takes over.
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

    /// Whether this node, which has just started, should wait for a claim rather than take the best of the
    /// few nodes that it knows for the owner.
    ///
    /// In a fleet that starts as a whole that node changes with each one that is heard of, and none has
    /// knowledge of the streams that the others placed.
    pub(super) fn awaits_claim(&self, now: Instant, first: &MemberState) -> bool {
        first.term == 0 && now < self.claim_wait_ends()
    }

    /// When this node stops to wait for a claim.
    pub(super) fn claim_wait_ends(&self) -> Instant {
        self.started_at + CLAIM_WAIT
    }

    /// Claims where nobody has and this node comes first; true where it does.
    ///
    /// Without a claim the owner of a fleet that starts as a whole was whoever was the best of those that
    /// had a configuration by then, one after the other. A weak host claims nothing while a stronger one lives, since a
    /// claim lasts.
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

    /// Places streams from now on, by a term above all that are known.
    fn claim(&mut self, now: Instant) {
        let highest = self.members.values().map(|m| m.state.term).max();
        self.own.term = highest.unwrap_or(0).max(self.own.term) + 1;
        let votes = self.failover.votes.len();
        tracing::info!(
            part = "control",
            term = self.own.term,
            votes,
            "owner claims"
        );
        self.failover = Failover::default();
        debug_assert_eq!(self.ranked(now)[0].incarnation, self.own.incarnation);
    }

    /// The node that would place if the owner were gone.
    fn successor(&self, now: Instant, owner: u64) -> Option<&MemberState> {
        let skipped = &self.failover.skipped;
        let mut others = self.ranked(now).into_iter();
        others.find(|n| n.incarnation != owner && !skipped.contains_key(&n.incarnation))
    }

    /// Votes that it takes: most of a small fleet without its owner.
    fn votes_needed(&self, now: Instant) -> usize {
        let others = self.ranked(now).len() - 1;
        others.div_ceil(2).clamp(1, MAX_VOTES)
    }
}
