//! Nodes of the caller's failure domain, or of all others.

use super::candidate::AddressCandidate;
use super::score::score;

/// Candidates with their total weight.
#[derive(Debug, Default)]
pub(super) struct Group<'a> {
    nodes: Vec<&'a AddressCandidate>,
    pub(super) weight: f64,
    /// CPU shares of all hosts, in thousandths of a core.
    total_cpu: u64,
    /// CPU share of the largest host, in thousandths of a core.
    largest_cpu: u32,
}

impl<'a> Group<'a> {
    pub(super) fn add(&mut self, node: &'a AddressCandidate) {
        self.nodes.push(node);
        self.weight += node.weight();
        self.total_cpu += u64::from(node.cpu_milli);
        self.largest_cpu = self.largest_cpu.max(node.cpu_milli);
    }

    pub(super) fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Number of largest hosts that would together have the CPU shares of the group.
    pub(super) fn largest_hosts(&self) -> f64 {
        self.total_cpu as f64 / f64::from(self.largest_cpu.max(1))
    }

    /// Returns the nodes with the lowest scores for the key, at most `count`.
    pub(super) fn choose(&self, key: u64, count: usize) -> Vec<&'a AddressCandidate> {
        let nodes = self.nodes.iter();
        let mut scored: Vec<(f64, &AddressCandidate)> = nodes
            .map(|n| (score(key, n.incarnation, n.weight()), *n))
            .collect();
        if count < scored.len() {
            scored.select_nth_unstable_by(count, |a, b| a.0.total_cmp(&b.0));
            scored.truncate(count);
        }
        scored.sort_by(|a, b| a.0.total_cmp(&b.0));
        scored.into_iter().map(|(_, n)| n).collect()
    }
}
