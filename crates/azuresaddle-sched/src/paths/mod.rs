//! Decides whether a node connects to a target directly or through another node.
//!
//! Answers partitions in which some nodes lose their paths to targets that the other nodes still
//! reach. A node alone can't tell such a partition from a target that is down; the word of a node
//! that reaches the target can.

mod direct_path;
mod tunnel_peer;

use std::collections::HashMap;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use self::direct_path::DirectPath;
pub use self::tunnel_peer::TunnelCandidate;
use self::tunnel_peer::TunnelPeer;

/// Interval at which a lost direct path is tried again.
const DIRECT_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a failed direct path counts, unless it fails again.
const FAILURE_MEMORY: Duration = Duration::from_secs(3);

/// Targets that fail in a row, without a success in between, from which on the node counts as cut off. Fewer may be
/// down by themselves.
const CUT_OFF_TARGETS: usize = 3;

/// Time for which no other node is asked for a target that is down.
const DOWN_TIME: Duration = Duration::from_millis(300);

/// Nodes whose refusals show that a target is down, unless one of them is known to reach targets.
const REFUSALS_TO_BELIEVE: usize = 2;

/// How to open the next connection to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathPlan {
    /// Directly, and through another node if that fails or takes long.
    DirectFirst,
    /// Directly and through another node at the same time: the direct path may be lost.
    Both,
    /// Through another node, and directly only if that fails.
    TunnelFirst,
    /// Directly only: no node reached the target a moment ago.
    DirectOnly,
}

/// The paths of one node to its targets, as its connection attempts show them.
#[derive(Debug, Default)]
pub struct TargetPaths {
    /// Direct paths that failed at their last attempt.
    failed: HashMap<HostName, DirectPath>,
    peers: HashMap<u64, TunnelPeer>,
    /// When a direct connection was last opened to any target.
    connected_at: Option<Instant>,
}

impl TargetPaths {
    /// Plans the next connection to a target.
    pub fn plan(&mut self, now: Instant, target: &HostName) -> PathPlan {
        let is_cut_off = self.is_cut_off(now);
        let Some(path) = self.failed.get_mut(target).filter(|p| p.counts(now)) else {
            return if is_cut_off {
                PathPlan::Both
            } else {
                PathPlan::DirectFirst
            };
        };
        if path.is_down(now) {
            return PathPlan::DirectOnly;
        }
        if !path.is_tunneled && !is_cut_off {
            return PathPlan::DirectFirst;
        }
        if now >= path.retry_at {
            path.retry_at = now + DIRECT_RETRY_INTERVAL;
            return PathPlan::Both;
        }
        PathPlan::TunnelFirst
    }

    /// Records a direct connection. Returns whether the path was lost before.
    pub fn on_connected(&mut self, now: Instant, target: &HostName) -> bool {
        self.connected_at = Some(now);
        let failed = self.failed.remove(target);
        failed.is_some_and(|path| path.is_tunneled)
    }

    /// Records a direct attempt that failed or was overtaken by one through another node.
    pub fn on_failed(&mut self, now: Instant, target: &HostName) {
        self.failed
            .entry(target.clone())
            .or_insert_with(|| DirectPath::new(now))
            .failed_at = now;
    }

    /// Whether the last direct attempt failed a short time ago.
    pub fn has_failed(&self, now: Instant, target: &HostName) -> bool {
        self.failed.get(target).is_some_and(|p| p.counts(now))
    }

    /// Records a connection through the node `peer`. Returns whether this shows that the direct path is lost.
    pub fn on_tunneled(&mut self, now: Instant, target: &HostName, peer: u64) -> bool {
        self.peers.entry(peer).or_default().on_reached(now);
        let Some(path) = self.failed.get_mut(target) else {
            return false;
        };
        path.down_until = None;
        !std::mem::replace(&mut path.is_tunneled, true)
    }

    /// Records that a node could not open a connection for this one.
    pub fn on_tunnel_failed(&mut self, now: Instant, peer: u64) {
        self.peers.entry(peer).or_default().on_failed(now);
    }

    /// Records that a target refuses connections of the nodes `refused_by` as well; `is_last` if no other node is going to
    /// answer. Returns whether that shows that the target is down.
    ///
    /// If no other node can tell, the refusal that this node got is believed, unless it is cut off.
    pub fn on_refused(
        &mut self,
        now: Instant,
        target: &HostName,
        refused_by: &[u64],
        is_last: bool,
    ) -> bool {
        self.distrust_cut_off_peers(now, target, refused_by);
        let is_known = |peer: &u64| self.peers.get(peer).is_some_and(|r| r.reaches(now));
        let is_believed = refused_by.iter().any(is_known)
            || ((is_last || refused_by.len() >= REFUSALS_TO_BELIEVE) && !self.is_cut_off(now));
        if is_believed
            && !refused_by.is_empty()
            && let Some(path) = self.failed.get_mut(target)
        {
            path.down_until = Some(now + DOWN_TIME);
        }
        is_believed
    }

    /// Records targets that refused other nodes. Once several targets have refused a node in a row while this node reaches none
    /// either, the node has probably lost its paths too: it no longer counts as reaching targets, and what it reported of them
    /// is dropped.
    fn distrust_cut_off_peers(&mut self, now: Instant, target: &HostName, refused_by: &[u64]) {
        for peer in refused_by {
            let Some(record) = self.peers.get_mut(peer).filter(|r| r.reaches(now)) else {
                continue;
            };
            record.refused.insert(target.clone());
            let connected_at = self.connected_at;
            let in_a_row = |path: &&mut DirectPath| {
                path.counts(now) && connected_at.is_none_or(|at| path.failed_at > at)
            };
            let refused = self.failed.iter_mut();
            let refused = refused.filter(|(target, _)| record.refused.contains(*target));
            let refused: Vec<_> = refused.map(|(_, path)| path).filter(in_a_row).collect();
            if refused.len() >= CUT_OFF_TARGETS {
                for path in refused {
                    path.down_until = None;
                }
                record.on_failed(now);
            }
        }
    }

    /// Whether several targets failed in a row, which rather shows that this node has lost its paths.
    pub fn is_cut_off(&self, now: Instant) -> bool {
        let in_a_row = |path: &&DirectPath| {
            path.counts(now)
                && path.down_until.is_none()
                && self.connected_at.is_none_or(|at| path.failed_at > at)
        };
        self.failed.values().filter(in_a_row).count() >= CUT_OFF_TARGETS
    }

    /// Whether failures on the way to a target say nothing about it.
    pub fn is_at_fault(&self, now: Instant, target: &HostName) -> bool {
        let is_lost =
            |path: &DirectPath| path.counts(now) && path.is_tunneled && !path.is_down(now);
        self.failed.get(target).is_some_and(is_lost) || self.is_cut_off(now)
    }

    /// Whether a kept connection to a target through another node may be used again. If not, the direct path has come
    /// back or is due to be tried.
    pub fn may_reuse_tunnel(&self, now: Instant, target: &HostName) -> bool {
        self.failed.get(target).is_some_and(|p| now < p.retry_at)
    }

    /// Orders nodes by how likely they connect to a target for this one: first those that did so recently, then the
    /// others by turns from this node's failure domain, which may be cut off as a whole, and from other domains; last
    /// those that failed a moment ago.
    pub fn rank_peers(&self, now: Instant, candidates: &[TunnelCandidate]) -> Vec<u64> {
        let mut turns = [0, 0];
        let mut ranked: Vec<(u32, usize, u64)> = Vec::with_capacity(candidates.len());
        for candidate in candidates {
            let record = self.peers.get(&candidate.node);
            let class = record.map_or(TunnelPeer::UNKNOWN, |r| r.class(now));
            let turn = &mut turns[usize::from(!candidate.is_same_domain)];
            *turn += 2;
            ranked.push((
                class,
                *turn + usize::from(!candidate.is_same_domain),
                candidate.node,
            ));
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, _, node)| node).collect()
    }

    /// Drops what is known of targets and nodes that no longer exist.
    pub fn retain(&mut self, is_target: impl Fn(&HostName) -> bool, is_node: impl Fn(u64) -> bool) {
        self.failed.retain(|target, _| is_target(target));
        for peer in self.peers.values_mut() {
            peer.refused.retain(&is_target);
        }
        self.peers.retain(|node, _| is_node(*node));
    }
}
