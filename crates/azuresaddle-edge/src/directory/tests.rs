//! Tests of the answers to address lookups.

use std::collections::HashSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use azuresaddle_core::deployment::{Configuration, RequestLimits};
use azuresaddle_core::prelude::*;
use azuresaddle_sched::addresses::{Caller, MAX_ADDRESSES};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::{ADDRESS_TTL, Directory, DirectoryParts, MAX_CONTROL_AGE};
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
    let directory = directory_of(snapshots, CancellationToken::new(), &metrics);
    (directory, metrics)
}

/// The directory of the node with number 0.
fn directory_of(
    snapshots: Snapshots,
    leaving: CancellationToken,
    metrics: &Metrics,
) -> Arc<Directory> {
    Directory::new(DirectoryParts {
        snapshots,
        own_addr: node(0, 120).callers_addr,
        leaving,
        max_ttl: ADDRESS_TTL,
        metrics: metrics.clone(),
    })
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

/// Guards against a node that is offered to callers after it has failed, when control publishes nothing more.
#[tokio::test(start_paused = true)]
async fn a_leaving_node_is_not_offered_though_no_snapshot_says_so() {
    let nodes: Vec<LiveNode> = (0..3).map(|n| node(n, 120)).collect();
    let snapshots = Snapshots::new(Snapshot {
        nodes: Arc::new(nodes.clone()),
        configuration: Some(Arc::new(empty_configuration())),
        ..Snapshot::empty()
    });
    let leaving = CancellationToken::new();
    let directory = directory_of(snapshots, leaving.clone(), &Metrics::new());
    assert!(directory.is_ready());
    leaving.cancel();
    assert!(!directory.is_ready());
    let offered = directory.addresses(None);
    assert_eq!(offered, [nodes[1].callers_addr, nodes[2].callers_addr]);
}

/// Guards against a node that stays ready while its control does nothing.
#[tokio::test(start_paused = true)]
async fn a_node_whose_control_stands_still_is_not_ready() {
    let snapshots = Snapshots::new(Snapshot {
        configuration: Some(Arc::new(empty_configuration())),
        ..Snapshot::empty()
    });
    let directory = directory_of(snapshots.clone(), CancellationToken::new(), &Metrics::new());
    tokio::time::sleep(MAX_CONTROL_AGE).await;
    assert!(!directory.is_ready());
    snapshots.progress().on_check(Instant::now());
    assert!(directory.is_ready());
}

fn empty_configuration() -> Configuration {
    let limits = RequestLimits::default();
    Configuration::new(RulesVersion(1), limits, vec![], vec![], vec![])
}
