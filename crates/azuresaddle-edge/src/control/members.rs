//! Which nodes are alive, and which of them places streams.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use tokio::time::Instant;

use super::heartbeat::Heartbeat;
use crate::snapshot::LiveNode;

/// Time between two heartbeats to a node.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Silence after which a node counts as gone: four lost heartbeats, so that the loss of single
/// datagrams moves nothing.
const SILENCE: Duration = Duration::from_millis(450);

/// Silence after which a node is no longer sent heartbeats.
const FORGET: Duration = Duration::from_secs(20);

/// Delay of the own clock above which silence says nothing, since this process did not run.
const STALL: Duration = Duration::from_millis(250);

/// Another node.
#[derive(Clone, Debug)]
struct Member {
    heartbeat: Heartbeat,
    ip: Ipv4Addr,
    heard_at: Instant,
}

/// The other nodes by host.
#[derive(Debug)]
pub(super) struct Members {
    own: Heartbeat,
    own_ip: Ipv4Addr,
    peer_port: u16,
    seeds: Vec<Ipv4Addr>,
    members: HashMap<Ipv4Addr, Member>,
    /// Hosts that others have named, and when.
    named: HashMap<Ipv4Addr, Instant>,
    checked_at: Instant,
}

impl Members {
    pub(super) fn new(
        now: Instant,
        own: Heartbeat,
        own_ip: Ipv4Addr,
        peer_port: u16,
        seeds: &[Ipv4Addr],
    ) -> Self {
        Self {
            own,
            own_ip,
            peer_port,
            seeds: seeds.iter().copied().filter(|ip| *ip != own_ip).collect(),
            members: HashMap::new(),
            named: HashMap::new(),
            checked_at: now,
        }
    }

    /// Changes what the next own heartbeat says.
    pub(super) fn update_own(&mut self, update: impl FnOnce(&mut Heartbeat)) {
        update(&mut self.own);
    }

    /// Whether this node is stopping.
    pub(super) fn is_leaving(&self) -> bool {
        self.own.leaving
    }

    /// The own heartbeat, with the hosts heard of late.
    pub(super) fn heartbeat(&self, now: Instant) -> Heartbeat {
        let mut own = self.own.clone();
        let heard = self.members.iter().filter(|(_, m)| is_alive(m, now));
        own.heard = heard
            .map(|(ip, _)| *ip)
            .take(super::heartbeat::MAX_NAMED)
            .collect();
        own
    }

    /// Notes a heartbeat; true where it changes who is alive or what it offers.
    pub(super) fn on_heartbeat(&mut self, now: Instant, ip: Ipv4Addr, heartbeat: Heartbeat) -> bool {
        if ip == self.own_ip {
            return false;
        }
        for named in &heartbeat.heard {
            if *named != self.own_ip {
                self.named.insert(*named, now);
            }
        }
        let before = self.members.get(&ip);
        let changed = before.is_none_or(|m| {
            !is_alive(m, now)
                || m.heartbeat.incarnation != heartbeat.incarnation
                || m.heartbeat.leaving != heartbeat.leaving
                || (m.heartbeat.configuration == 0) != (heartbeat.configuration == 0)
        });
        let member = Member {
            heartbeat,
            ip,
            heard_at: now,
        };
        self.members.insert(ip, member);
        changed
    }

    /// Notes the passing of time; true where a node may have fallen silent.
    ///
    /// After a stall of this process every node gets the time again, since their heartbeats may
    /// wait unread.
    pub(super) fn check(&mut self, now: Instant) -> bool {
        let late = now.saturating_duration_since(self.checked_at);
        if late > HEARTBEAT_INTERVAL + STALL {
            for member in self.members.values_mut() {
                member.heard_at += late;
            }
        }
        let before = self.checked_at;
        self.checked_at = now;
        self.members
            .retain(|_, m| now.saturating_duration_since(m.heard_at) < FORGET);
        self.named
            .retain(|_, at| now.saturating_duration_since(*at) < FORGET);
        let mut members = self.members.values();
        members.any(|m| is_alive(m, before) != is_alive(m, now))
    }

    /// Hosts to send a heartbeat to.
    pub(super) fn destinations(&self) -> Vec<Ipv4Addr> {
        let mut all: Vec<Ipv4Addr> = self.members.keys().copied().collect();
        all.extend(self.named.keys());
        all.extend(&self.seeds);
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Live nodes, this one among them, and the incarnation of the one that places streams.
    pub(super) fn live(&self, now: Instant) -> (Vec<LiveNode>, u64) {
        let others = self.members.values().filter(|m| is_alive(m, now));
        let mut all: Vec<(&Heartbeat, Ipv4Addr)> =
            others.map(|m| (&m.heartbeat, m.ip)).collect();
        all.push((&self.own, self.own_ip));
        // The owner is the oldest of the strongest: it changes only when a node goes, and a
        // restarted node does not take over from one that knows the running streams.
        all.sort_by_key(|(h, _)| {
            let able = !h.leaving && h.configuration != 0;
            (!able, u32::MAX - h.cpu_milli, h.started_ms, h.incarnation)
        });
        let owner = all[0].0.incarnation;
        let nodes = all.iter().map(|(h, ip)| LiveNode {
            incarnation: h.incarnation,
            callers: h.callers,
            peer: SocketAddr::from((*ip, self.peer_port)),
            takes_callers: !h.leaving && h.configuration != 0,
        });
        (nodes.collect(), owner)
    }

    /// Address of a live node that knows a newer configuration or newer targets.
    pub(super) fn better_informed(
        &self,
        now: Instant,
        is_better: impl Fn(&Heartbeat) -> bool,
    ) -> Option<SocketAddr> {
        let mut alive = self.members.values().filter(|m| is_alive(m, now));
        let member = alive.find(|m| is_better(&m.heartbeat))?;
        Some(SocketAddr::from((member.ip, self.peer_port)))
    }
}

fn is_alive(member: &Member, now: Instant) -> bool {
    now.saturating_duration_since(member.heard_at) < SILENCE
}
