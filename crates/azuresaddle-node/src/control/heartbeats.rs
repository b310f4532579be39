//! Heartbeats between nodes.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::actor::Control;
use super::command::Command;
use crate::peer::{Heartbeat, HeartbeatReply, PeerClient};
use crate::snapshot::ReceivedDigest;

/// Interval of heartbeats to each other node.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum wait for the reply to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);

impl<N: Network> Control<N> {
    pub(super) fn send_heartbeats(&mut self, now: Instant) {
        if self
            .last_heartbeat
            .is_some_and(|at| now - at < HEARTBEAT_INTERVAL)
        {
            return;
        }
        self.last_heartbeat = Some(now);
        self.mark_own_streams_in_use(now);
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
                let reply = peers.call(addr, HEARTBEAT_TIMEOUT, call).await.ok()?;
                Some(Command::HeartbeatAnswered(name, reply))
            });
        }
    }

    /// Marks this node's attempts in its own pools as in use.
    fn mark_own_streams_in_use(&mut self, now: Instant) {
        let owned = &self.owned;
        let streams = self.parts.live.list(|pool| owned.contains_key(pool));
        self.mark_in_use(now, &streams);
    }

    fn mark_in_use(&mut self, now: Instant, streams: &[StreamId]) {
        for owned in self.owned.values_mut() {
            for stream in streams {
                if owned.pool.knows(*stream) {
                    owned.last_in_use.insert(*stream, now);
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
            peer.last_seen = Some(now);
            peer.store_reachable = heartbeat.store_reachable;
        }
        self.mark_in_use(now, &heartbeat.streams);
        self.fetch_newer_rules(&heartbeat.node, heartbeat.rules);
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
            peer.last_seen = Some(now);
            peer.store_reachable = reply.store_reachable;
            peer.stopping = reply.stopping;
        }
        self.fetch_newer_rules(node, reply.rules);
        for (digest, epoch) in reply.digests {
            let known = self.digests.get(&digest.pool);
            if known.is_some_and(|(_, known)| *known > epoch) {
                continue;
            }
            let received = ReceivedDigest {
                digest,
                received_at: now,
            };
            self.digests
                .insert(received.digest.pool.clone(), (received, epoch));
        }
    }
}
