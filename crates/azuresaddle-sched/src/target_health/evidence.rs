//! What the nodes observed of one target in the last two seconds.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;

use super::counts::SendCounts;
use super::ejection::{EjectionEvidence, EjectionScope};
use super::update::{HealthBucket, Observer};

/// Time for which an observation counts: some sends to each target at the lowest usual rate, and about the time within
/// which callers give up.
pub(super) const WINDOW: Duration = Duration::from_secs(2);

/// Failures in the whole fleet from which a target is ejected. Fewer are usual when a target restarts or a datagram of a
/// handshake is lost.
const MIN_FAILURES: u32 = 3;

/// Nodes that must have failed, so that no node ejects a target because of its own link.
const MIN_FAILING_NODES: usize = 2;

/// What the evidence says about a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Assessment {
    /// Too few failures, or too few nodes with failures.
    TooLittle,
    /// At most half of the sends failed.
    Responds,
    /// The target is to be ejected.
    Fails(EjectionEvidence),
}

/// Sends of one interval.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    index: u32,
    began_at: Instant,
    counts: SendCounts,
}

/// Observations of one node.
#[derive(Clone, Debug)]
struct NodeEvidence {
    observer: Observer,
    buckets: Vec<Bucket>,
}

/// Observations of one target by all nodes.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetEvidence {
    by_node: HashMap<u64, NodeEvidence>,
}

impl TargetEvidence {
    /// Adds sends to an interval of a node.
    pub(super) fn add(
        &mut self,
        observer: Observer,
        index: u32,
        began_at: Instant,
        counts: &SendCounts,
    ) {
        let bucket = self.bucket(observer, index, began_at);
        bucket.counts.add(counts);
    }

    /// Merges an interval of another node; true if it holds anything new.
    pub(super) fn merge(
        &mut self,
        now: Instant,
        observer: Observer,
        update: &HealthBucket,
    ) -> bool {
        let age = Duration::from_millis(update.age_ms.into());
        let Some(began_at) = now.checked_sub(age).filter(|_| age < WINDOW) else {
            return false;
        };
        let bucket = self.bucket(observer, update.index, began_at);
        // The shortest path between the nodes gives the most accurate time.
        bucket.began_at = bucket.began_at.min(began_at);
        bucket.counts.raise_to(&update.counts)
    }

    fn bucket(&mut self, observer: Observer, index: u32, began_at: Instant) -> &mut Bucket {
        let entry = self.by_node.entry(observer.node);
        let node = entry.or_insert_with(|| NodeEvidence {
            observer,
            buckets: Vec::new(),
        });
        let buckets = &mut node.buckets;
        let at = buckets.iter().position(|b| b.index == index);
        let at = at.unwrap_or_else(|| {
            buckets.push(Bucket {
                index,
                began_at,
                counts: SendCounts::default(),
            });
            buckets.len() - 1
        });
        &mut buckets[at]
    }

    /// Removes observations that no longer count.
    pub(super) fn expire(&mut self, now: Instant) {
        self.by_node.retain(|_, node| {
            let is_recent = |b: &Bucket| now.saturating_duration_since(b.began_at) < WINDOW;
            node.buckets.retain(is_recent);
            !node.buckets.is_empty()
        });
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_node.is_empty()
    }

    /// Whether any node failed at the target.
    pub(super) fn has_failures(&self) -> bool {
        self.by_node.values().any(|n| n.totals().failures() > 0)
    }

    /// Whether a node failed at the target.
    pub(super) fn has_failures_of(&self, node: u64) -> bool {
        let node = self.by_node.get(&node);
        node.is_some_and(|n| n.totals().failures() > 0)
    }

    /// Whether a node failed at the target within an interval.
    pub(super) fn has_failed_in(&self, node: u64, index: u32) -> bool {
        let is_failure = |b: &Bucket| b.index == index && b.counts.failures() > 0;
        let node = self.by_node.get(&node);
        node.is_some_and(|n| n.buckets.iter().any(is_failure))
    }

    /// Observations of a node as an update for other nodes, and the node.
    pub(super) fn update_for(
        &self,
        now: Instant,
        node: u64,
    ) -> Option<(Observer, Vec<HealthBucket>)> {
        let node = self.by_node.get(&node)?;
        let buckets = node.buckets.iter().filter_map(|b| {
            let age = now.saturating_duration_since(b.began_at);
            (age < WINDOW).then_some(HealthBucket {
                index: b.index,
                age_ms: age.as_millis() as u16,
                counts: b.counts,
            })
        });
        Some((node.observer, buckets.collect()))
    }

    /// Nodes that tried the target, and whether all of their sends failed.
    pub(super) fn attempts(&self) -> impl Iterator<Item = Attempt> {
        self.by_node.values().map(|n| {
            let totals = n.totals();
            Attempt {
                node: n.observer.node,
                has_failed: totals.failures() > 0 && totals.responses() == 0,
            }
        })
    }

    /// Assesses the observations since `from`, without those of nodes that are cut off.
    pub(super) fn assess(&self, from: Option<Instant>, cut_off: &HashSet<u64>) -> Assessment {
        let sums = self.sums(from, cut_off);
        sums.map_or(Assessment::TooLittle, |s| s.assess())
    }

    /// Whether more than half of the sends since the first failure failed, however few they are; `None` without a failure.
    /// Uses the same observations as [`Self::assess`].
    pub(super) fn is_failing(&self, from: Option<Instant>, cut_off: &HashSet<u64>) -> Option<bool> {
        self.sums(from, cut_off).map(|s| s.is_failing())
    }

    /// Sends since the first failure; `None` if there is none.
    fn sums(&self, from: Option<Instant>, cut_off: &HashSet<u64>) -> Option<Sums> {
        let nodes = self.by_node.values();
        let counted = nodes.filter(|n| !cut_off.contains(&n.observer.node));
        let all: Vec<(Observer, &Bucket)> = counted
            .flat_map(|n| n.buckets.iter().map(|b| (n.observer, b)))
            .filter(|(_, b)| from.is_none_or(|from| b.began_at >= from))
            .collect();
        let failed = all.iter().filter(|(_, b)| b.counts.failures() > 0);
        let first = failed.map(|(_, b)| b.began_at).min()?;
        let mut sums = Sums::default();
        for (observer, bucket) in all.iter().filter(|(_, b)| b.began_at >= first) {
            sums.add(*observer, &bucket.counts);
        }
        Some(sums)
    }
}

impl NodeEvidence {
    fn totals(&self) -> SendCounts {
        let mut totals = SendCounts::default();
        for bucket in &self.buckets {
            totals.add(&bucket.counts);
        }
        totals
    }
}

/// Whether a node reached a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) node: u64,
    /// Whether none of its sends got a response.
    pub(super) has_failed: bool,
}

/// Sends to a target since its first failure.
#[derive(Debug, Default)]
struct Sums {
    sends: u32,
    failures: u32,
    failing_nodes: HashSet<u64>,
    failing_domains: HashSet<u16>,
    responding_domains: HashSet<u16>,
}

impl Sums {
    fn add(&mut self, observer: Observer, counts: &SendCounts) {
        self.sends = self.sends.saturating_add(counts.sends.into());
        self.failures = self.failures.saturating_add(counts.failures());
        if counts.failures() > 0 {
            self.failing_nodes.insert(observer.node);
            self.failing_domains.insert(observer.domain);
        }
        if counts.responses() > 0 {
            self.responding_domains.insert(observer.domain);
        }
    }

    /// The one failure domain whose nodes fail while those of another one get responses.
    fn only_failing_domain(&self) -> Option<u16> {
        let domain = *self.failing_domains.iter().next()?;
        let is_only = self.failing_domains.len() == 1;
        let others_respond = self.responding_domains.iter().any(|d| *d != domain);
        (is_only && others_respond).then_some(domain)
    }

    /// A late answer counts as a failure and then as a response, so a target with as many responses as failures may have
    /// answered all sends.
    fn is_failing(&self) -> bool {
        self.failures > self.sends / 2
    }

    fn assess(&self) -> Assessment {
        if !self.is_failing() {
            return Assessment::Responds;
        }
        if self.failures < MIN_FAILURES || self.failing_nodes.len() < MIN_FAILING_NODES {
            return Assessment::TooLittle;
        }
        let scope = self
            .only_failing_domain()
            .map_or(EjectionScope::Fleet, EjectionScope::Domain);
        Assessment::Fails(EjectionEvidence {
            sends: self.sends,
            failures: self.failures,
            nodes: self.failing_nodes.len() as u32,
            scope,
        })
    }
}
