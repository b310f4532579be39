//! Signs of life between nodes.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::actor::Control;
use super::command::Command;
use crate::peer::{Heartbeat, HeartbeatReply, PeerClient};
use crate::snapshot::SeenDigest;

/// Interval of heartbeats to each other node.
const INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(2);

impl<N: Network> Control<N> {
    pub(super) fn send_heartbeats(&mut self, now: Instant) {
        if self.last_heartbeat.is_some_and(|at| now - at < INTERVAL) {
            return;
        }
        self.last_heartbeat = Some(now);
        self.claim_own_streams(now);
        let own = &self.parts.settings.name;
        for entry in self.hosts.entries.iter().filter(|e| e.name != *own) {
            let owners = &self.owners;
            let owned_there = |pool: &PoolId| {
                owners
                    .get(pool)
                    .is_some_and(|record| record.owner == entry.name)
            };
            let heartbeat = Heartbeat {
                node: own.clone(),
                rules: self.rules.version,
                store_reachable: self.store_reachable(now),
                streams: self.parts.live.list(owned_there),
            };
            let peers = self.parts.peers.clone();
            let name = entry.name.clone();
            let addr = entry.peer_addr;
            self.spawn_command(async move {
                let call = async |client: PeerClient, cx| client.heartbeat(cx, heartbeat).await;
                let reply = peers.call(addr, TIMEOUT, call).await.ok()?;
                Some(Command::HeartbeatAnswered(name, reply))
            });
        }
    }

    /// Claims the attempts of this node in its own pools.
    fn claim_own_streams(&mut self, now: Instant) {
        let owned = &self.owned;
        let streams = self.parts.live.list(|pool| owned.contains_key(pool));
        self.claim(now, &streams);
    }

    fn claim(&mut self, now: Instant, streams: &[StreamId]) {
        for owned in self.owned.values_mut() {
            for stream in streams {
                if owned.pool.knows(*stream) {
                    owned.claimed.insert(*stream, now);
                }
            }
        }
    }

    pub(super) fn on_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: Heartbeat,
        reply: oneshot::Sender<HeartbeatReply>,
    ) {
        if let Some(peer) = self.peers.get_mut(&heartbeat.node) {
            peer.heard = Some(now);
            peer.store_reachable = heartbeat.store_reachable;
        }
        self.claim(now, &heartbeat.streams);
        self.consider_rules_of(&heartbeat.node, heartbeat.rules);
        let digests = self
            .owned
            .iter()
            .map(|(id, owned)| (owned.pool.digest(now, id.clone()), owned.epoch))
            .collect();
        let _ = reply.send(HeartbeatReply {
            rules: self.rules.version,
            store_reachable: self.store_reachable(now),
            stopping: self.stopping_since.is_some(),
            digests,
        });
    }

    pub(super) fn on_heartbeat_answered(
        &mut self,
        now: Instant,
        node: &HostName,
        reply: HeartbeatReply,
    ) {
        if let Some(peer) = self.peers.get_mut(node) {
            peer.heard = Some(now);
            peer.store_reachable = reply.store_reachable;
            peer.stopping = reply.stopping;
        }
        self.consider_rules_of(node, reply.rules);
        for (digest, epoch) in reply.digests {
            let known = self.digests.get(&digest.pool);
            if known.is_some_and(|(_, known)| *known > epoch) {
                continue;
            }
            let seen = SeenDigest { digest, seen: now };
            self.digests.insert(seen.digest.pool.clone(), (seen, epoch));
        }
    }
}
