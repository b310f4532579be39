//! Simulated fleet in virtual time.

use std::net::Ipv4Addr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use super::members::{members, number};
use crate::control::heartbeat::{Datagram, Heartbeat, MAX_BYTES};
use crate::control::members::{Members, TICK};

/// Nodes that exchange heartbeats in rounds.
pub(super) struct Fleet {
    pub(super) nodes: Vec<Members>,
    pub(super) now: Instant,
    /// Maximum number of heartbeats that a node sent in the last round.
    pub(super) most_sent: usize,
    /// Fraction of datagrams that are lost.
    pub(super) loss_rate: f64,
    /// Pairs of nodes, by number, that receive nothing of each other.
    pub(super) cuts: Vec<(usize, usize)>,
    rng: SmallRng,
}

impl Fleet {
    pub(super) fn new(nodes: u16) -> Self {
        let now = Instant::now();
        Self {
            nodes: (1..=nodes).map(|n| members(now, n)).collect(),
            now,
            most_sent: 0,
            loss_rate: 0.0,
            cuts: Vec::new(),
            rng: SmallRng::seed_from_u64(u64::from(nodes)),
        }
    }

    /// Runs one round; returns how often a node changed its view of which nodes are live.
    pub(super) fn round(&mut self) -> usize {
        self.now += TICK;
        let now = self.now;
        let mut changes = 0;
        let mut sent = Vec::new();
        self.most_sent = 0;
        let mut claims = Vec::new();
        for members in &mut self.nodes {
            let term = members.own.term;
            changes += usize::from(members.on_tick(now));
            members.claim_if_first(now);
            if members.own.term != term {
                let heartbeat = members.bare_heartbeat();
                claims.extend(
                    members
                        .alive_hosts(now)
                        .into_iter()
                        .map(|ip| (ip, heartbeat.clone())),
                );
            }
            let to = members.heartbeat_destinations();
            if to.is_empty() {
                continue;
            }
            self.most_sent = self.most_sent.max(to.len());
            let heartbeat = members.heartbeat(now);
            let bytes = Datagram::Heartbeat(heartbeat.clone()).encode();
            assert!(bytes.len() <= MAX_BYTES, "{} bytes", bytes.len());
            sent.extend(to.into_iter().map(|ip| (ip, heartbeat.clone())));
        }
        for (to, heartbeat) in claims.into_iter().chain(sent) {
            changes += usize::from(self.send(to, &heartbeat));
        }
        changes
    }

    /// Sends a heartbeat, unless it is lost; a host without a node does not answer.
    pub(super) fn send(&mut self, to: Ipv4Addr, heartbeat: &Heartbeat) -> bool {
        let is_lost = number(to) > self.nodes.len()
            || self.is_cut(to, heartbeat.from.ip)
            || self.rng.random_bool(self.loss_rate);
        !is_lost && self.deliver(to, heartbeat)
    }

    fn is_cut(&self, a: Ipv4Addr, b: Ipv4Addr) -> bool {
        let (a, b) = (number(a), number(b));
        self.cuts.contains(&(a, b)) || self.cuts.contains(&(b, a))
    }

    /// Delivers a heartbeat; a receiver that does not know the sender's process replies with its
    /// own.
    fn deliver(&mut self, to: Ipv4Addr, heartbeat: &Heartbeat) -> bool {
        let members = &self.nodes[number(to) - 1];
        let is_new = !members.knows(heartbeat.from.ip, heartbeat.from.incarnation);
        let mut changed = self.receive(to, heartbeat);
        if is_new {
            let reply = self.nodes[number(to) - 1].heartbeat(self.now);
            changed |= self.receive(heartbeat.from.ip, &reply);
        }
        changed
    }

    /// Delivers a heartbeat to a host, which requests unknown states from the sender.
    fn receive(&mut self, to: Ipv4Addr, heartbeat: &Heartbeat) -> bool {
        let now = self.now;
        let from = heartbeat.from.ip;
        let members = &mut self.nodes[number(to) - 1];
        let mut changed = members.on_heartbeat(now, from, heartbeat);
        let unknown = members.hosts_to_request(heartbeat);
        let answer = self.nodes[number(from) - 1].states_of(now, &unknown);
        let bytes = Datagram::StateResponse(answer.clone()).encode();
        assert!(bytes.len() <= MAX_BYTES, "{} bytes", bytes.len());
        changed |= self.nodes[number(to) - 1].on_states(now, &answer);
        changed
    }

    pub(super) fn advance(&mut self, time: Duration) -> usize {
        let rounds = time.as_millis() / TICK.as_millis();
        (0..rounds).map(|_| self.round()).sum()
    }
}
