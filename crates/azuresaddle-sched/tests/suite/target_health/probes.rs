//! How ejected targets are probed and return to use.

use azuresaddle_sched::target_health::SendOutcome::{Answered, NoAnswer, NoConnection};
use azuresaddle_sched::target_health::TargetVerdict;

use super::support::Nodes;

/// Advances in steps until a node probes the target; returns the node and the time in milliseconds.
fn next_probe(nodes: &mut Nodes, target: usize) -> (usize, u64) {
    for waited in (10..5000).step_by(10) {
        nodes.advance(10);
        let probers = nodes.start_probes(target);
        if let Some(prober) = probers.first() {
            assert_eq!(probers.len(), 1, "one node of the fleet probes");
            return (*prober, waited);
        }
    }
    panic!("no node probes the target");
}

/// Guards against a fleet whose nodes all probe, or probe a target that is down too often.
#[tokio::test(start_paused = true)]
async fn one_node_probes_at_growing_intervals() {
    let mut nodes = Nodes::new(9, 4);
    nodes.eject(0);
    let mut waits = Vec::new();
    for _ in 0..5 {
        let (prober, waited) = next_probe(&mut nodes, 0);
        nodes.end_probe(prober, 0, false);
        waits.push(waited);
        assert_eq!(nodes.users(0), 0);
    }
    assert_eq!(waits, [200, 400, 800, 800, 800]);
}

/// Guards against a target that gets the load of the whole fleet as soon as it accepts a connection.
#[tokio::test(start_paused = true)]
async fn only_the_prober_sends_during_a_trial() {
    let mut nodes = Nodes::new(9, 4);
    nodes.eject(0);
    let (prober, _) = next_probe(&mut nodes, 0);
    nodes.end_probe(prober, 0, true);
    assert_eq!(nodes.users(0), 1);
    assert!(nodes.all[prober].verdicts().accepts(&nodes.targets[0].id));
    nodes.send(prober, 0, &[Answered]);
    assert_eq!(nodes.users(0), 9, "an answer returns the target to use");
}

/// Guards against a target that stays on trial because the prober has no request for it.
#[tokio::test(start_paused = true)]
async fn a_trial_without_requests_ends_after_its_time() {
    let mut nodes = Nodes::new(9, 4);
    nodes.eject(0);
    let (prober, _) = next_probe(&mut nodes, 0);
    nodes.end_probe(prober, 0, true);
    nodes.advance(190);
    assert_eq!(nodes.users(0), 1);
    nodes.advance(10);
    assert_eq!(nodes.users(0), 9);
}

/// Guards against a target that accepts connections but answers nothing, and returns to use again and again.
#[tokio::test(start_paused = true)]
async fn a_failure_during_the_trial_ejects_again_with_the_next_interval() {
    let mut nodes = Nodes::new(9, 4);
    nodes.eject(0);
    let (prober, _) = next_probe(&mut nodes, 0);
    nodes.end_probe(prober, 0, true);
    nodes.advance(100);
    nodes.send(prober, 0, &[NoAnswer]);
    assert_eq!(nodes.users(0), 0);
    let (_, waited) = next_probe(&mut nodes, 0);
    assert_eq!(waited, 400);
}

/// Guards against old failures that eject a target again which has just answered.
#[tokio::test(start_paused = true)]
async fn failures_before_the_return_do_not_count() {
    let mut nodes = Nodes::new(9, 4);
    nodes.eject(0);
    let (prober, _) = next_probe(&mut nodes, 0);
    nodes.end_probe(prober, 0, true);
    nodes.send(prober, 0, &[Answered]);
    nodes.advance(300);
    nodes.send(4, 0, &[NoConnection]);
    assert_eq!(nodes.users(0), 9);
}

/// Guards against a frozen prober, or one of an earlier build, that leaves a target ejected.
#[tokio::test(start_paused = true)]
async fn another_node_probes_if_the_first_one_reports_nothing() {
    let mut nodes = Nodes::new(9, 4);
    nodes.eject(0);
    let (first, _) = next_probe(&mut nodes, 0);
    let (second, waited) = next_probe(&mut nodes, 0);
    assert_ne!(first, second);
    assert_eq!(waited, 400);
    nodes.end_probe(second, 0, true);
    nodes.advance(200);
    assert_eq!(nodes.users(0), 9);
}

/// Guards against a target that stays ejected for ever in a part of the fleet that gets no reports.
#[tokio::test(start_paused = true)]
async fn a_target_without_observations_returns_to_use() {
    let mut nodes = Nodes::new(9, 4);
    nodes.eject(0);
    nodes.advance(4990);
    assert_eq!(nodes.users(0), 0);
    nodes.advance(10);
    assert_eq!(nodes.users(0), 9);
}

/// Guards against a node that joins later, or missed the failures, and sends to a target that is down.
#[tokio::test(start_paused = true)]
async fn a_failed_probe_ejects_the_target_on_nodes_that_missed_the_failures() {
    let mut nodes = Nodes::new(9, 4);
    nodes.eject(0);
    let (prober, _) = next_probe(&mut nodes, 0);
    let late = (prober + 1) % 9;
    let own = nodes.all.remove(late);
    drop(own);
    let fresh = Nodes::new(9, 4).all.remove(late);
    nodes.all.insert(late, fresh);
    nodes.decide();
    assert_eq!(nodes.verdict(late, 0), TargetVerdict::InUse);
    nodes.end_probe(prober, 0, false);
    assert_eq!(nodes.users(0), 0);
}
