//! When targets are ejected.

use azuresaddle_core::deployment::TargetStart;
use azuresaddle_sched::target_health::SendOutcome::{
    Answered, NoAnswer, NoConnection, Refused, ServerError, Slow,
};
use azuresaddle_sched::target_health::{EjectionScope, TargetVerdict};

use super::support::{Nodes, STARTED, counts};

/// Guards against each node detecting a failing target by itself.
#[tokio::test(start_paused = true)]
async fn three_failures_of_two_nodes_eject_a_target_on_all_nodes() {
    let mut nodes = Nodes::new(5, 4);
    nodes.send(0, 0, &[NoConnection]);
    nodes.send(0, 0, &[NoAnswer]);
    assert_eq!(nodes.users(0), 5, "two failures of one node");
    nodes.send(3, 0, &[NoConnection]);
    assert_eq!(nodes.users(0), 0);
    assert_eq!(nodes.users(1), 5);
}

/// Guards against a node with a broken link that ejects targets for all others.
#[tokio::test(start_paused = true)]
async fn failures_of_one_node_eject_nothing() {
    let mut nodes = Nodes::new(5, 4);
    nodes.send(0, 0, &[NoConnection; 9]);
    assert_eq!(nodes.users(0), 5);
}

/// Guards against ejecting a target that answers most requests.
#[tokio::test(start_paused = true)]
async fn a_target_that_answers_most_sends_stays_in_use() {
    let mut nodes = Nodes::new(5, 4);
    nodes.send(0, 0, &[NoConnection]);
    nodes.send(1, 0, &[NoConnection, Answered, Answered]);
    nodes.send(2, 0, &[NoConnection, Answered, Answered]);
    assert_eq!(nodes.users(0), 5);
}

/// Guards against answers before the outage that hide the failures.
#[tokio::test(start_paused = true)]
async fn answers_before_the_first_failure_do_not_count() {
    let mut nodes = Nodes::new(5, 4);
    nodes.send(2, 0, &[Answered; 40]);
    nodes.advance(300);
    nodes.eject(0);
}

/// Guards against an ejection for evidence that arrived in the wrong order.
#[tokio::test(start_paused = true)]
async fn answers_that_arrive_after_the_failures_withdraw_an_ejection() {
    let mut nodes = Nodes::new(5, 4);
    nodes.eject(0);
    nodes.send(2, 0, &[Answered; 6]);
    assert_eq!(nodes.users(0), 5);
}

/// Guards against ejecting a target that is only overloaded.
#[tokio::test(start_paused = true)]
async fn refusals_errors_and_slow_answers_eject_nothing() {
    let mut nodes = Nodes::new(5, 4);
    for node in 0..5 {
        nodes.send(node, 0, &[Refused, ServerError, Slow, Refused]);
    }
    assert_eq!(nodes.users(0), 5);
}

/// Guards against nodes without a network that eject targets which others reach.
#[tokio::test(start_paused = true)]
async fn the_failures_of_cut_off_nodes_do_not_count() {
    let mut nodes = Nodes::new(5, 7);
    for node in 0..2 {
        for target in [4, 5, 6] {
            nodes.send(node, target, &[NoConnection]);
        }
    }
    for target in [4, 5, 6] {
        nodes.send(0, target, &[NoConnection; 3]);
    }
    assert!([4, 5, 6].iter().all(|t| nodes.users(*t) == 5));
}

/// Guards against a node that counts as cut off because others don't know of its answers.
#[tokio::test(start_paused = true)]
async fn a_node_that_reaches_most_targets_is_not_cut_off() {
    let mut nodes = Nodes::new(5, 7);
    for target in 0..4 {
        nodes.send(0, target, &[Answered]);
    }
    for target in [4, 5, 6] {
        nodes.send(0, target, &[NoConnection; 2]);
        nodes.send(1, target, &[NoConnection]);
    }
    for target in 0..4 {
        nodes.send(1, target, &[Answered]);
    }
    assert!([4, 5, 6].iter().all(|t| nodes.users(*t) == 0));
}

/// Guards against nodes that gossip every send once any of them has failed.
#[tokio::test(start_paused = true)]
async fn a_node_shares_its_answers_only_if_it_may_be_cut_off() {
    let mut nodes = Nodes::new(2, 7);
    let now = nodes.now;
    let node = &mut nodes.all[0];
    let mut send = |target: usize, outcome| {
        let id = &nodes.targets[target].id;
        node.on_sends(now, id, STARTED, &counts(&[outcome]));
        let keys = node.take_unsent().into_iter();
        keys.map(|k| k.target.as_str().to_owned()).collect()
    };
    let sent: Vec<Vec<String>> = vec![
        send(0, Answered),
        send(1, NoConnection),
        send(2, Answered),
        send(3, NoConnection),
    ];
    let expected: [&[&str]; 4] = [&[], &["t1"], &[], &["t0", "t2", "t3"]];
    for (mut sent, expected) in sent.into_iter().zip(expected) {
        sent.sort();
        assert_eq!(sent, expected);
    }
}

/// Guards against a fault between two failure domains that takes a target from all nodes.
#[tokio::test(start_paused = true)]
async fn a_target_that_only_one_failure_domain_cannot_reach_is_ejected_there() {
    let mut nodes = Nodes::new(6, 4);
    nodes.send(0, 0, &[NoConnection; 2]);
    nodes.send(1, 0, &[Answered]);
    nodes.send(3, 0, &[NoConnection; 2]);
    let used_by: Vec<bool> = (0..6)
        .map(|n| nodes.verdict(n, 0) == TargetVerdict::InUse)
        .collect();
    assert_eq!(used_by, [false, true, true, false, true, true]);
    let ejected = nodes.all[1].verdicts().ejected();
    assert_eq!(ejected[0].evidence.scope, EjectionScope::Domain(0));
    assert!(ejected[0].is_used_here);
}

/// Guards against ejecting all targets of a service, which would refuse every request.
#[tokio::test(start_paused = true)]
async fn at_most_half_of_a_services_targets_are_ejected() {
    let mut nodes = Nodes::new(12, 5);
    // Each node tries two targets, so none counts as cut off.
    for target in 0..4 {
        nodes.send(2 * target, target, &[NoConnection; 2]);
        let more = if target == 3 { 3 } else { 1 };
        nodes.send(2 * target + 1, target, &vec![NoConnection; more]);
    }
    let ejected = |nodes: &Nodes| -> Vec<usize> {
        let all = 0..5;
        all.filter(|t| nodes.users(*t) == 0).collect()
    };
    let expected = [0, 3];
    assert_eq!(
        ejected(&nodes),
        expected,
        "the clearest evidence first, then by name"
    );
    // The last one is no better than the others.
    nodes.send(8, 4, &[NoConnection; 2]);
    nodes.send(9, 4, &[NoConnection]);
    assert_eq!(ejected(&nodes), [0; 0]);
    nodes.send(10, 4, &[Answered; 4]);
    assert_eq!(ejected(&nodes), expected);
}

/// Guards against a sound target that is ejected because all targets of its service are silent for a moment.
#[tokio::test(start_paused = true)]
async fn a_silence_of_both_targets_of_a_service_ejects_neither() {
    for failure in [NoAnswer, NoConnection] {
        let mut nodes = Nodes::new(5, 2);
        nodes.send(0, 0, &[failure]);
        nodes.send(1, 1, &[failure]);
        for node in 0..5 {
            for target in [0, 1] {
                nodes.send(node, target, &[failure]);
                assert_eq!([nodes.users(0), nodes.users(1)], [5, 5], "{failure:?}");
            }
        }
        nodes.advance(700);
        // The first one goes on: it answers what was silent, and new sends.
        for node in 0..5 {
            nodes.send(node, 0, &[Slow, Answered, Answered]);
        }
        assert_eq!([nodes.users(0), nodes.users(1)], [5, 0], "{failure:?}");
    }
}

/// Guards against a sound target that stays ejected because its failures are known before those of the other one, though
/// both are silent.
#[tokio::test(start_paused = true)]
async fn the_first_failures_in_a_silence_of_both_targets_eject_none_for_long() {
    let mut nodes = Nodes::new(5, 2);
    nodes.eject(0);
    nodes.send(3, 1, &[NoAnswer]);
    assert_eq!([nodes.users(0), nodes.users(1)], [5, 5]);
}

/// Guards against a sound target that is ejected after a silence, since each late answer counts as a failure as well.
#[tokio::test(start_paused = true)]
async fn targets_that_answer_late_after_a_silence_stay_in_use() {
    let mut nodes = Nodes::new(5, 2);
    for target in [0, 1] {
        for node in 0..4 {
            nodes.send(node, target, &[NoAnswer]);
        }
    }
    nodes.advance(800);
    for target in [0, 1] {
        for node in 0..4 {
            nodes.send(node, target, &[Slow]);
        }
    }
    nodes.send(4, 1, &[Answered]);
    assert_eq!([nodes.users(0), nodes.users(1)], [5, 5]);
}

/// Guards against an overloaded target that is ejected though it answers all of its requests.
#[tokio::test(start_paused = true)]
async fn a_target_that_answers_all_sends_late_stays_in_use() {
    let mut nodes = Nodes::new(5, 4);
    for node in 0..5 {
        nodes.send(node, 0, &[NoAnswer, Slow]);
    }
    assert_eq!(nodes.users(0), 5);
}

/// Guards against a failed target that returns to use because the other one fails now and then.
#[tokio::test(start_paused = true)]
async fn a_few_failures_of_the_other_target_leave_a_failed_one_ejected() {
    let mut nodes = Nodes::new(5, 2);
    nodes.send(2, 1, &[NoAnswer, Answered, Answered]);
    nodes.eject(0);
    assert_eq!(nodes.users(1), 5);
}

/// Guards against a service that loses its only target.
#[tokio::test(start_paused = true)]
async fn the_last_target_is_never_ejected() {
    let mut nodes = Nodes::new(5, 1);
    nodes.send(0, 0, &[NoConnection; 5]);
    nodes.send(1, 0, &[NoConnection; 5]);
    assert_eq!(nodes.users(0), 5);
}

/// Guards against the state of an earlier start that keeps a restarted target out of use.
#[tokio::test(start_paused = true)]
async fn a_new_start_clears_the_state_of_a_target() {
    let mut nodes = Nodes::new(5, 4);
    nodes.eject(0);
    let mut restarted = (*nodes.targets[0]).clone();
    restarted.started = TargetStart(2000);
    nodes.targets[0] = restarted.into();
    nodes.decide();
    assert_eq!(nodes.users(0), 5);
    // Late failures of the earlier start.
    nodes.send(2, 0, &[NoConnection; 5]);
    nodes.send(3, 0, &[NoConnection; 5]);
    assert_eq!(nodes.users(0), 5);
}

/// Guards against observations of a frozen node that outlive their time.
#[tokio::test(start_paused = true)]
async fn observations_expire_after_two_seconds() {
    let mut nodes = Nodes::new(5, 4);
    nodes.send(0, 0, &[NoConnection; 2]);
    nodes.advance(2300);
    nodes.send(1, 0, &[NoConnection]);
    assert_eq!(nodes.users(0), 5);
}

/// Guards against counting the same sends twice when updates are relayed.
#[tokio::test(start_paused = true)]
async fn repeated_updates_are_counted_once() {
    let mut nodes = Nodes::new(3, 4);
    let id = nodes.targets[0].id.clone();
    let now = nodes.now;
    let started = nodes.targets[0].started;
    nodes.all[0].on_sends(now, &id, started, &counts(&[NoConnection]));
    nodes.all[1].on_sends(now, &id, started, &counts(&[NoConnection]));
    let keys = nodes.all[0].take_unsent();
    let update = nodes.all[0].update_for(now, &keys[0]).unwrap();
    assert!(nodes.all[1].on_update(now, &update));
    assert!(!nodes.all[1].on_update(now, &update));
    nodes.decide();
    assert_eq!(nodes.verdict(1, 0), TargetVerdict::InUse);
}
