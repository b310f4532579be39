//! Answers of callers when a node joins or leaves.

use std::collections::HashSet;
use std::net::SocketAddr;

use azuresaddle_sched::addresses::{AddressCandidate, Caller, select_addresses};

use super::fleet::{callers, fleet, node, ranked};

const FLEETS: [usize; 4] = [63, 81, 300, 984];

fn answer(fleet: &[AddressCandidate], caller: Caller) -> HashSet<SocketAddr> {
    select_addresses(fleet, caller).into_iter().collect()
}

/// Guards against callers that drop their connections to other nodes when one ends.
#[test]
fn a_node_that_leaves_changes_only_the_answers_that_held_it() {
    for nodes in FLEETS {
        let before = fleet(nodes);
        let mut after = before.clone();
        let left = after.remove(nodes / 2).addr;
        for caller in callers(1000, 1.0, 1) {
            let (old, new) = (answer(&before, caller), answer(&after, caller));
            let lost: Vec<&SocketAddr> = old.difference(&new).collect();
            let held: Vec<&SocketAddr> = old.get(&left).into_iter().collect();
            assert_eq!(lost, held, "{nodes} nodes");
            assert!(new.difference(&old).count() <= held.len());
        }
    }
}

/// Guards against callers that drop more than one connection for a node that joins.
#[test]
fn a_node_that_joins_changes_only_the_answers_that_will_hold_it() {
    for nodes in FLEETS {
        let before = fleet(nodes);
        let mut after = before.clone();
        after.push(node(nodes, false, nodes));
        let joined = after[nodes].addr;
        for caller in callers(1000, 1.0, 1) {
            let (old, new) = (answer(&before, caller), answer(&after, caller));
            let gained: Vec<&SocketAddr> = new.difference(&old).collect();
            let holds: Vec<&SocketAddr> = new.get(&joined).into_iter().collect();
            assert_eq!(gained, holds, "{nodes} nodes");
            assert!(old.difference(&new).count() <= holds.len());
        }
    }
}

/// Guards against answers that reach all callers at once: in one ranking, a new large host is in all of them.
#[test]
fn a_large_host_that_joins_is_not_in_all_answers() {
    let mut fleet = fleet(300);
    fleet.push(node(300, true, 300));
    let joined = fleet[300].addr;
    assert!(ranked(&fleet).contains(&joined));
    let callers = callers(1000, 1.0, 1);
    let holding = callers
        .iter()
        .filter(|c| answer(&fleet, **c).contains(&joined));
    let share = holding.count() as f64 / callers.len() as f64;
    // 64 addresses of a fleet with 44 cores hold a host with half a core in 0.72 of the answers, by its weight.
    assert!(share < 0.8, "{share:.2}");
}

/// Guards against a caller that gets other addresses with each lookup and so opens new connections every few seconds.
#[test]
fn a_caller_keeps_its_answer_whichever_node_it_asks() {
    let fleet = fleet(81);
    let mut reversed = fleet.clone();
    reversed.reverse();
    for caller in callers(100, 1.0, 1) {
        let answer = select_addresses(&fleet, caller);
        assert_eq!(answer, select_addresses(&reversed, caller));
    }
}
