//! Tests of the answers to address lookups.

use std::collections::HashSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use azuresaddle_sched::addresses::{Caller, MAX_ADDRESSES};

use super::{ADDRESS_TTL, Directory};
use crate::metrics::Metrics;
use crate::snapshot::{LiveNode, Snapshot, Snapshots};
use crate::tests::snapshots::live_node;

fn node(n: u64, cpu_milli: u32) -> LiveNode {
    let [.., high, low] = n.to_be_bytes();
    LiveNode {
        callers_addr: ([10, 0, high, low], 1).into(),
        peer_addr: ([10, 0, high, low], 2).into(),
        domain: (n % 3) as u16,
        cpu_milli,
        ..live_node(n + 1)
    }
}

fn directory(nodes: Vec<LiveNode>) -> (Arc<Directory>, Metrics) {
    let snapshots = Snapshots::new(Snapshot {
        nodes: Arc::new(nodes),
        ..Snapshot::empty()
    });
    let metrics = Metrics::new();
    (
        Directory::new(snapshots, ADDRESS_TTL, metrics.clone()),
        metrics,
    )
}

fn caller(n: u8, domain: u16) -> Option<Caller> {
    let ip = IpAddr::V4(Ipv4Addr::new(10, 9, 0, n));
    Some(Caller::from_ip(ip, domain))
}

/// Guards against a fleet of which callers reach 64 nodes only.
#[test]
fn callers_of_a_large_fleet_reach_all_nodes() {
    let nodes: Vec<LiveNode> = (0..100).map(|n| node(n, 120)).collect();
    let (directory, metrics) = directory(nodes.clone());
    let mut reached: HashSet<SocketAddr> = HashSet::new();
    for n in 0..30 {
        let answer = directory.addresses(caller(n, 1));
        assert!(answer.len() <= MAX_ADDRESSES);
        let first = nodes.iter().find(|n| n.callers_addr == answer[0]);
        assert_eq!(first.unwrap().domain, 1);
        reached.extend(answer);
    }
    assert_eq!(reached.len(), nodes.len());
    let text = metrics.text();
    assert!(
        text.contains("azuresaddle_lookups_total{answer=\"selected\"} 30"),
        "{text}"
    );
}

/// Guards against other answers for callers that state no failure domain, and in fleets that need no selection.
#[test]
fn other_callers_get_the_first_nodes_of_the_ranking() {
    let nodes: Vec<LiveNode> = (0..100).map(|n| node(n, 120)).collect();
    let first = |nodes: &[LiveNode]| -> Vec<SocketAddr> {
        let first = nodes.iter().take(MAX_ADDRESSES);
        first.map(|n| n.callers_addr).collect()
    };
    let (large, _) = directory(nodes.clone());
    assert_eq!(large.addresses(None), first(&nodes));
    let (small, metrics) = directory(nodes[..20].to_vec());
    assert_eq!(small.addresses(caller(1, 1)), first(&nodes[..20]));
    assert!(
        metrics
            .text()
            .contains("azuresaddle_lookups_total{answer=\"ranked\"} 1")
    );
}

/// Guards against addresses of nodes that are stopping or silent.
#[test]
fn nodes_that_take_no_callers_are_left_out() {
    let mut nodes: Vec<LiveNode> = (0..9).map(|n| node(n, 120)).collect();
    nodes[0].cpu_milli = 500;
    nodes[4].takes_callers = false;
    let left_out = nodes[4].callers_addr;
    let (directory, _) = directory(nodes);
    for n in 0..30 {
        assert!(!directory.addresses(caller(n, 1)).contains(&left_out));
    }
    assert!(!directory.addresses(None).contains(&left_out));
}
