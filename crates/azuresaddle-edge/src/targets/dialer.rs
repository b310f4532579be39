//! Opens connections to targets, directly or through another node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::paths::{PathPlan, TunnelCandidate};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::seq::{IndexedRandom, SliceRandom};
use tokio::time::{Instant, sleep, timeout};

use super::connection_pool::ConnectError;
use super::shared_paths::SharedPaths;
use super::target_stream::TargetStream;
use crate::snapshot::{LiveNode, Snapshots};
use crate::tunnel::{TunnelError, TunnelStream, open_tunnel};

/// Longest wait for a connection: many times a round trip and the time that a target takes to accept.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which an attempt without an answer is joined by the next one: many round trips within a region, and short
/// enough for a request that must be answered within 100 ms.
const HEDGE_DELAY: Duration = Duration::from_millis(25);

/// Most nodes that are asked for a tunnel. Most nodes of a failure domain may be cut off together.
const MAX_PEERS: usize = 5;

/// Targets that are tried when this node seems to be cut off, in case it is the other targets that are down.
const TARGETS_TO_CHECK: usize = 3;

/// Opens connections to targets.
#[derive(Clone)]
pub(crate) struct TargetDialer<N> {
    pub(crate) net: N,
    pub(crate) spawner: Spawner,
    /// Incarnation of this node.
    pub(crate) node: u64,
    pub(crate) snapshots: Snapshots,
    pub(crate) paths: SharedPaths,
    /// Port for tunnels, the same on all hosts.
    pub(crate) tunnel_port: u16,
}

/// Why no other node connected to a target.
enum NoTunnel {
    /// The target is down, as far as this node and the others can tell.
    Down,
    /// No node that was asked reaches it, and this node is cut off.
    Unreachable,
}

impl<N: Network> TargetDialer<N> {
    /// Opens a connection to a target.
    ///
    /// # Errors
    /// [`ConnectError::Refused`] if the target is down, other errors if that is not known. Nothing was sent.
    pub(crate) async fn dial(
        &self,
        target: &HostName,
        addr: SocketAddr,
    ) -> Result<TargetStream<N::Stream>, ConnectError> {
        let plan = self.paths.with(|p| p.plan(Instant::now(), target));
        let mut direct = std::pin::pin!(self.dial_direct(target, addr));
        let mut tunnel = std::pin::pin!(self.dial_tunnel(target));
        let mut hedge = std::pin::pin!(sleep(HEDGE_DELAY));
        let mut direct_runs = plan != PathPlan::TunnelFirst;
        let mut tunnel_runs = matches!(plan, PathPlan::Both | PathPlan::TunnelFirst);
        let mut may_tunnel = plan == PathPlan::DirectFirst;
        let mut refused = None;
        let mut no_tunnel = None;
        while direct_runs || tunnel_runs {
            tokio::select! {
                // After a pause of this process a connection may be open although its delay has passed.
                biased;
                connected = &mut direct, if direct_runs => match connected {
                    Ok(stream) => return Ok(TargetStream::direct(stream)),
                    Err(e) => {
                        direct_runs = false;
                        tunnel_runs |= std::mem::take(&mut may_tunnel);
                        refused = Some(e);
                    }
                },
                opened = &mut tunnel, if tunnel_runs => match opened {
                    Ok((peer, stream)) => {
                        if direct_runs && plan == PathPlan::DirectFirst {
                            self.on_failed(target);
                        }
                        self.paths.on_tunneled(target, peer);
                        return Ok(TargetStream::tunnel(stream, peer));
                    }
                    Err(e) => {
                        tunnel_runs = false;
                        direct_runs |= plan == PathPlan::TunnelFirst && refused.is_none();
                        no_tunnel = Some(e);
                    }
                },
                () = &mut hedge, if may_tunnel => {
                    may_tunnel = false;
                    tunnel_runs = true;
                }
            }
        }
        let error = refused.expect("the direct path was tried");
        Err(match (error, no_tunnel) {
            (ConnectError::Refused(_), Some(NoTunnel::Unreachable)) => ConnectError::NoPath,
            (error, _) => error,
        })
    }

    /// Whether a kept connection through the node `peer` may be used again.
    pub(crate) fn may_reuse_tunnel(&self, target: &HostName, peer: u64) -> bool {
        let snapshot = self.snapshots.load();
        snapshot.node(peer).is_some_and(|node| node.takes_callers)
            && self
                .paths
                .with(|p| p.may_reuse_tunnel(Instant::now(), target))
    }

    async fn dial_direct(
        &self,
        target: &HostName,
        addr: SocketAddr,
    ) -> Result<N::Stream, ConnectError> {
        let connected = timeout(CONNECT_TIMEOUT, self.net.connect(addr)).await;
        match connected {
            Ok(Ok(stream)) => {
                self.paths.on_connected(target);
                Ok(stream)
            }
            Ok(Err(e)) => {
                self.on_failed(target);
                Err(ConnectError::Refused(e))
            }
            Err(_) => {
                self.on_failed(target);
                Err(ConnectError::Timeout)
            }
        }
    }

    /// Records a lost direct path. If this node seems to be cut off by now, tries some other targets.
    fn on_failed(&self, target: &HostName) {
        if !self.paths.on_failed(target) {
            return;
        }
        let snapshot = self.snapshots.load();
        let others = snapshot.targets.iter();
        let is_other = |id: &HostName| self.paths.with(|p| !p.has_failed(Instant::now(), id));
        let others: Vec<_> = others.filter(|t| is_other(&t.id)).collect();
        for other in others.choose_multiple(&mut rand::rng(), TARGETS_TO_CHECK) {
            let (dialer, other) = (self.clone(), Arc::clone(other));
            self.spawner.spawn(async move {
                // Both outcomes are recorded.
                let _ = dialer.dial_direct(&other.id, other.addr).await;
            });
        }
    }

    /// Asks other nodes one after the other, the next one as soon as one fails or does not answer quickly.
    async fn dial_tunnel(
        &self,
        target: &HostName,
    ) -> Result<(u64, TunnelStream<N::Stream>), NoTunnel> {
        let mut peers = self.ranked_peers().into_iter();
        let mut attempts = FuturesUnordered::new();
        let mut refused_by = Vec::new();
        let mut asked = Vec::new();
        let give_up_at = Instant::now() + CONNECT_TIMEOUT;
        let mut next_at = Instant::now();
        loop {
            if Instant::now() >= next_at
                && let Some((peer, addr)) = peers.next()
            {
                attempts.push(async move { (peer, open_tunnel(&self.net, addr, target).await) });
                asked.push(peer);
                next_at = Instant::now() + HEDGE_DELAY;
            }
            if attempts.is_empty() {
                break;
            }
            let wait_until = if peers.len() > 0 {
                next_at
            } else if refused_by.is_empty() {
                give_up_at
            } else {
                // A node that does not answer now adds nothing to a refusal.
                next_at + HEDGE_DELAY
            };
            tokio::select! {
                biased;
                Some((peer, opened)) = attempts.next() => {
                    asked.retain(|p| *p != peer);
                    match opened {
                        Ok(stream) => {
                            // The nodes that are still silent are likely to be cut off or down.
                            self.on_peers_failed(&asked);
                            return Ok((peer, stream));
                        }
                        Err(TunnelError::Refused) => refused_by.push(peer),
                        Err(TunnelError::Unavailable | TunnelError::Broken(_)) => {
                            self.on_peers_failed(&[peer]);
                        }
                    }
                    let is_last = attempts.is_empty() && peers.len() == 0;
                    if !refused_by.is_empty() && self.is_down(target, &refused_by, is_last) {
                        return Err(NoTunnel::Down);
                    }
                    if peers.len() > 0 {
                        next_at = Instant::now();
                    }
                }
                () = tokio::time::sleep_until(wait_until.min(give_up_at)) => {
                    if peers.len() == 0 || Instant::now() >= give_up_at {
                        break;
                    }
                }
            }
        }
        self.on_peers_failed(&asked);
        if self.is_down(target, &refused_by, true) {
            return Err(NoTunnel::Down);
        }
        Err(NoTunnel::Unreachable)
    }

    /// Whether the refusals of other nodes show that a target is down; `is_last` if no other answer is expected.
    fn is_down(&self, target: &HostName, refused_by: &[u64], is_last: bool) -> bool {
        let now = Instant::now();
        self.paths
            .with(|p| p.on_refused(now, target, refused_by, is_last))
    }

    fn on_peers_failed(&self, peers: &[u64]) {
        let now = Instant::now();
        self.paths.with(|p| {
            for peer in peers {
                p.on_tunnel_failed(now, *peer);
            }
        });
    }

    /// Nodes to ask for a tunnel and their addresses, the best first.
    fn ranked_peers(&self) -> Vec<(u64, SocketAddr)> {
        let mut nodes = self.other_nodes();
        nodes.shuffle(&mut rand::rng());
        let snapshot = self.snapshots.load();
        let domain = snapshot.node(self.node).map(|own| own.domain);
        let candidates: Vec<TunnelCandidate> = nodes
            .iter()
            .map(|node| TunnelCandidate {
                node: node.incarnation,
                is_same_domain: Some(node.domain) == domain,
            })
            .collect();
        let ranked = self
            .paths
            .with(|p| p.rank_peers(Instant::now(), &candidates));
        let addr = |peer: u64| {
            let node = nodes.iter().find(|n| n.incarnation == peer)?;
            Some((peer, SocketAddr::new(node.peer_addr.ip(), self.tunnel_port)))
        };
        ranked
            .into_iter()
            .filter_map(addr)
            .take(MAX_PEERS)
            .collect()
    }

    fn other_nodes(&self) -> Vec<LiveNode> {
        let snapshot = self.snapshots.load();
        let others = snapshot.nodes.iter();
        let others = others.filter(|n| n.incarnation != self.node && n.takes_callers);
        others.cloned().collect()
    }
}
