//! Callers whose failure domain goes down, and callers without a node in their domain.

use std::collections::HashSet;
use std::net::SocketAddr;

use azuresaddle_sched::addresses::{AddressCandidate, Caller, MAX_ADDRESSES, select_addresses};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use super::fleet::{DOMAINS, callers, fleet, ranked};

/// Tries of a request that is retried twice.
const TRIES: usize = 3;

fn addrs_of(fleet: &[AddressCandidate], domain: u16) -> HashSet<SocketAddr> {
    let nodes = fleet.iter().filter(|n| n.domain == domain);
    nodes.map(|n| n.addr).collect()
}

/// Share of the callers that reach a live address within so many tries of their old answer, while all nodes of their
/// own domain are down. A try takes a random address that has not failed before.
fn reached(
    fleet: &[AddressCandidate],
    tries: usize,
    answer: impl Fn(Caller) -> Vec<SocketAddr>,
) -> f64 {
    let mut rng = StdRng::seed_from_u64(1);
    let callers = callers(20_000, 1.0, 1);
    let down: Vec<HashSet<SocketAddr>> = (0..DOMAINS).map(|d| addrs_of(fleet, d as u16)).collect();
    let reaches = |caller: &&Caller| {
        let mut addrs = answer(**caller);
        addrs.shuffle(&mut rng);
        let down = &down[usize::from(caller.domain)];
        addrs.iter().take(tries).any(|a| !down.contains(a))
    };
    callers.iter().filter(reaches).count() as f64 / callers.len() as f64
}

/// Guards against answers whose addresses in other domains are too few to be found by retries: nine of ten callers get
/// their first request through, and by its third one nearly every caller has found a live address. A caller keeps its old
/// answer long enough for several requests.
#[test]
fn callers_of_a_domain_that_goes_down_reach_another() {
    for nodes in [9, 63, 81, 300, 984] {
        let fleet = fleet(nodes);
        let selected = |tries| reached(&fleet, tries, |c| select_addresses(&fleet, c));
        let one = |tries| reached(&fleet, tries, |_| ranked(&fleet));
        eprintln!(
            "{nodes} nodes: {:.3} in 2 tries, {:.3} in 3; one ranking {:.3} and {:.3}",
            selected(2),
            selected(3),
            one(2),
            one(3)
        );
        assert!(selected(TRIES) >= 0.9, "{nodes} nodes");
        assert!(selected(2 * TRIES) >= 0.98, "{nodes} nodes");
        assert!(selected(3 * TRIES) >= 0.99, "{nodes} nodes");
    }
}

/// Guards against an empty answer for callers whose domain is down once the nodes have noticed, and against one node
/// that gets all of them.
#[test]
fn callers_without_a_node_in_their_domain_get_nodes_of_all_others() {
    let mut fleet = fleet(81);
    fleet.retain(|n| n.domain != 0);
    let callers = callers(2000, 1.0, 1);
    for caller in callers.iter().filter(|c| c.domain == 0) {
        let answer = select_addresses(&fleet, *caller);
        for domain in 1..DOMAINS {
            let addrs = addrs_of(&fleet, domain as u16);
            assert!(answer.iter().filter(|a| addrs.contains(a)).count() >= 2);
        }
    }
}

/// Guards against answers that hold an address twice, exceed the limit or list other domains first.
#[test]
fn answers_are_well_formed() {
    for nodes in [1, 2, 3, 9, 63, 81, 300, 984] {
        let fleet = fleet(nodes);
        for caller in callers(300, 1.0, 1) {
            let answer = select_addresses(&fleet, caller);
            let distinct: HashSet<&SocketAddr> = answer.iter().collect();
            assert_eq!(distinct.len(), answer.len());
            assert!((1..=MAX_ADDRESSES).contains(&answer.len()));
            let own = addrs_of(&fleet, caller.domain);
            assert!(answer.is_sorted_by_key(|a| !own.contains(a)));
            let others = answer.iter().filter(|a| !own.contains(a)).count();
            let available = fleet.iter().filter(|n| n.domain != caller.domain).count();
            assert!(others >= available.min(2), "{nodes} nodes");
        }
    }
}
