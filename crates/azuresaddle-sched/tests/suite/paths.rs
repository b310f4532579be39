//! Decisions on direct paths and tunnels.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::paths::{PathPlan, TargetPaths, TunnelCandidate};
use tokio::time::{Instant, advance};

const PEER: u64 = 7;

fn target(n: u32) -> HostName {
    HostName::new(format!("t{n}"))
}

/// Paths of a node that has lost its paths to `count` targets.
fn cut_off_from(count: u32) -> TargetPaths {
    let mut paths = TargetPaths::default();
    for n in 0..count {
        paths.on_failed(Instant::now(), &target(n));
    }
    paths
}

#[tokio::test(start_paused = true)]
async fn a_lost_path_is_used_again_once_it_is_back() {
    let mut paths = cut_off_from(1);
    assert_eq!(
        paths.plan(Instant::now(), &target(0)),
        PathPlan::DirectFirst
    );
    assert!(paths.on_tunneled(Instant::now(), &target(0), PEER));
    assert_eq!(
        paths.plan(Instant::now(), &target(0)),
        PathPlan::TunnelFirst
    );
    assert!(paths.may_reuse_tunnel(Instant::now(), &target(0)));
    advance(Duration::from_secs(1)).await;
    assert!(!paths.may_reuse_tunnel(Instant::now(), &target(0)));
    assert_eq!(paths.plan(Instant::now(), &target(0)), PathPlan::Both);
    // One attempt tries the direct path; the others don't wait for it.
    assert_eq!(
        paths.plan(Instant::now(), &target(0)),
        PathPlan::TunnelFirst
    );
    assert!(paths.on_connected(Instant::now(), &target(0)));
    assert_eq!(
        paths.plan(Instant::now(), &target(0)),
        PathPlan::DirectFirst
    );
}

/// Guards against the failures of a node that is cut off counting against targets.
#[tokio::test(start_paused = true)]
async fn failures_of_a_node_that_is_cut_off_say_nothing_about_targets() {
    let mut paths = cut_off_from(2);
    assert!(!paths.is_at_fault(Instant::now(), &target(9)));
    paths.on_failed(Instant::now(), &target(2));
    assert!(paths.is_cut_off(Instant::now()));
    assert!(paths.is_at_fault(Instant::now(), &target(9)));
    assert_eq!(paths.plan(Instant::now(), &target(9)), PathPlan::Both);
    advance(Duration::from_millis(1)).await;
    paths.on_connected(Instant::now(), &target(9));
    assert!(!paths.is_cut_off(Instant::now()));
}

/// Guards against a node that takes many crashed targets for a lost path, and so hides them from the others.
#[tokio::test(start_paused = true)]
async fn targets_that_are_down_do_not_make_a_node_cut_off() {
    let mut paths = TargetPaths::default();
    for n in 0..5 {
        paths.on_failed(Instant::now(), &target(n));
        assert!(!paths.on_refused(Instant::now(), &target(n), &[1], false));
        assert!(paths.on_refused(Instant::now(), &target(n), &[1, 2], false));
        assert!(!paths.is_at_fault(Instant::now(), &target(n)));
        assert_eq!(paths.plan(Instant::now(), &target(n)), PathPlan::DirectOnly);
    }
    assert!(!paths.is_cut_off(Instant::now()));
}

/// Guards against crashes that are counted by nodes that are cut off together.
#[tokio::test(start_paused = true)]
async fn refusals_of_unknown_nodes_are_not_believed_by_a_node_that_is_cut_off() {
    let mut paths = cut_off_from(3);
    assert!(!paths.on_refused(Instant::now(), &target(0), &[1, 2, 3], false));
    paths.on_tunneled(Instant::now(), &target(1), PEER);
    assert!(paths.on_refused(Instant::now(), &target(0), &[PEER], false));
    paths.on_tunnel_failed(Instant::now(), PEER);
    assert!(!paths.on_refused(Instant::now(), &target(2), &[PEER], false));
}

/// Guards against crashes that are not counted while the other nodes are stopped or frozen.
#[tokio::test(start_paused = true)]
async fn a_refusal_is_believed_if_no_other_node_can_tell() {
    let mut paths = cut_off_from(1);
    assert!(!paths.on_refused(Instant::now(), &target(0), &[1], false));
    assert!(paths.on_refused(Instant::now(), &target(0), &[1], true));
    assert!(paths.on_refused(Instant::now(), &target(0), &[], true));
    let mut paths = cut_off_from(3);
    assert!(!paths.on_refused(Instant::now(), &target(0), &[1, 2], true));
}

#[tokio::test(start_paused = true)]
async fn failures_are_forgotten() {
    let mut paths = cut_off_from(4);
    advance(Duration::from_secs(4)).await;
    assert!(!paths.is_cut_off(Instant::now()));
    assert!(!paths.has_failed(Instant::now(), &target(0)));
    assert_eq!(
        paths.plan(Instant::now(), &target(0)),
        PathPlan::DirectFirst
    );
}

/// Guards against asking only nodes of a failure domain that is cut off as a whole.
#[tokio::test(start_paused = true)]
async fn nodes_of_both_domains_are_asked_for_tunnels() {
    let mut paths = TargetPaths::default();
    let candidates: Vec<TunnelCandidate> = (1..=6)
        .map(|node| TunnelCandidate {
            node,
            is_same_domain: node <= 3,
        })
        .collect();
    assert_eq!(
        paths.rank_peers(Instant::now(), &candidates),
        [1, 4, 2, 5, 3, 6]
    );
    paths.on_tunneled(Instant::now(), &target(0), 5);
    paths.on_tunnel_failed(Instant::now(), 1);
    assert_eq!(
        paths.rank_peers(Instant::now(), &candidates),
        [5, 4, 2, 3, 6, 1]
    );
}

/// Guards against requests that are refused for seconds because the node that connected for this one is cut off as well.
#[tokio::test(start_paused = true)]
async fn refusals_of_a_node_that_has_lost_its_paths_are_not_believed() {
    let mut paths = cut_off_from(3);
    for n in 0..3 {
        paths.on_tunneled(Instant::now(), &target(n), PEER);
    }
    advance(Duration::from_secs(1)).await;
    for n in 0..2 {
        paths.on_failed(Instant::now(), &target(n));
        assert!(paths.on_refused(Instant::now(), &target(n), &[PEER], false));
    }
    paths.on_failed(Instant::now(), &target(2));
    assert!(!paths.on_refused(Instant::now(), &target(2), &[PEER], false));
    assert!(paths.is_cut_off(Instant::now()));
    let others = [PEER, 8].map(|node| TunnelCandidate {
        node,
        is_same_domain: true,
    });
    assert_eq!(paths.rank_peers(Instant::now(), &others), [8, PEER]);
    for n in 0..3 {
        assert_ne!(paths.plan(Instant::now(), &target(n)), PathPlan::DirectOnly);
        assert!(!paths.on_refused(Instant::now(), &target(n), &[PEER, 8], true));
    }
}

/// Guards against crashes that are not counted because the node that tells of them counts as cut off.
#[tokio::test(start_paused = true)]
async fn refusals_of_a_node_that_reaches_other_targets_are_believed() {
    let mut paths = cut_off_from(4);
    for n in 0..9 {
        paths.on_tunneled(Instant::now(), &target(3), PEER);
        let down = target(n % 3);
        paths.on_failed(Instant::now(), &down);
        assert!(paths.on_refused(Instant::now(), &down, &[PEER], false));
    }
    // A node that reaches targets itself is not cut off, and believes any number of refusals.
    let mut paths = cut_off_from(6);
    paths.on_tunneled(Instant::now(), &target(0), PEER);
    advance(Duration::from_millis(1)).await;
    paths.on_connected(Instant::now(), &target(9));
    for n in 0..6 {
        assert!(paths.on_refused(Instant::now(), &target(n), &[PEER], false));
    }
}
