//! Nodes get requests in proportion to their weights.

use azuresaddle_sched::addresses::{
    AddressCandidate, Caller, LoadLevel, needs_selection, select_addresses,
};

use super::fleet::{Shares, callers, fleet};

const FLEETS: [usize; 5] = [9, 63, 81, 300, 984];

/// Callers per node at which the noise of hashing is small against the limits.
const MANY_CALLERS: usize = 40;

/// Callers of one failure domain relative to another one.
const SKEW: f64 = 2.6;

/// Limits of what a node gets, relative to its weighted share.
const LEAST: f64 = 0.5;
const MOST: f64 = 1.6;

fn assert_within(shares: Shares, what: &str) {
    eprintln!("{what}: {:.2} to {:.2}", shares.least, shares.most);
    assert!(
        shares.least >= LEAST && shares.most <= MOST,
        "{what}: {shares:?}"
    );
}

/// Guards against small hosts that get as much as large ones, and against nodes that no answer holds.
#[test]
fn nodes_get_their_share_of_evenly_spread_callers() {
    for nodes in FLEETS {
        let fleet = fleet(nodes);
        let callers = callers(nodes * MANY_CALLERS, 1.0, 1);
        assert_within(
            Shares::selected(&fleet, &callers),
            &format!("{nodes} nodes"),
        );
    }
}

/// Guards against a failure domain that is overloaded by its own callers while the others have room.
#[test]
fn nodes_get_their_share_if_one_domain_has_more_callers() {
    for nodes in FLEETS {
        let fleet = fleet(nodes);
        let callers = callers(nodes * MANY_CALLERS, SKEW, 1);
        assert_within(
            Shares::selected(&fleet, &callers),
            &format!("{nodes} nodes"),
        );
    }
}

/// Shows that the limits tell the selection from one ranking for all callers. With 9 nodes, both keep them.
#[test]
fn one_ranking_exceeds_the_limits() {
    for nodes in FLEETS.into_iter().filter(|n| *n > 9) {
        let fleet = fleet(nodes);
        let callers = callers(nodes * MANY_CALLERS, 1.0, 1);
        let ranked = Shares::ranked(&fleet, &callers);
        eprintln!("{nodes} nodes: {:.2} to {:.2}", ranked.least, ranked.most);
        assert!(ranked.least < LEAST || ranked.most > MOST, "{ranked:?}");
    }
}

/// Guards against answers with too few addresses to even out the callers of a deployment, 253 for 81 nodes.
#[test]
fn few_callers_suffice_for_even_shares() {
    for nodes in FLEETS {
        let fleet = fleet(nodes);
        for seed in 1..=5 {
            let callers = callers(nodes * 253 / 81, 1.0, seed);
            let shares = Shares::selected(&fleet, &callers);
            assert_within(shares, &format!("{nodes} nodes, seed {seed}"));
        }
    }
}

/// Guards against a node that keeps its callers although its host is full.
#[test]
fn a_loaded_node_gets_fewer_callers() {
    let callers = callers(8000, 1.0, 1);
    let with_load = |load: LoadLevel| {
        let mut fleet = fleet(300);
        fleet[200].load = load;
        let loaded = fleet[200].addr;
        let answers = callers.iter().map(|c| select_addresses(&fleet, *c));
        answers.filter(|a| a.contains(&loaded)).count() as f64
    };
    let normal = with_load(LoadLevel::Normal);
    for load in [LoadLevel::Raised, LoadLevel::High, LoadLevel::Full] {
        let ratio = with_load(load) / normal / load.factor();
        assert!((0.8..1.25).contains(&ratio), "{load:?}: {ratio:.2}");
    }
}

/// Guards against a domain whose loaded nodes still get all requests of its own callers.
#[test]
fn a_loaded_domain_sends_its_callers_to_others() {
    let mut fleet = fleet(81);
    let callers = callers(2000, 1.0, 1);
    let own = |fleet: &[AddressCandidate], c: Caller| {
        let answer = select_addresses(fleet, c);
        let is_own = |n: &&AddressCandidate| n.domain == c.domain && answer.contains(&n.addr);
        fleet.iter().filter(is_own).count() as f64 / answer.len() as f64
    };
    let in_first = || callers.iter().filter(|c| c.domain == 0);
    let before: f64 = in_first().map(|c| own(&fleet, *c)).sum();
    let loaded = fleet.iter_mut().filter(|n| n.domain == 0);
    loaded.for_each(|n| n.load = LoadLevel::High);
    let after: f64 = in_first().map(|c| own(&fleet, *c)).sum();
    assert!(after < before * 0.6, "{before:.0} to {after:.0}");
}

/// Guards against different answers where one answer holds all nodes and all are alike.
#[test]
fn a_small_fleet_of_equal_hosts_needs_no_selection() {
    let mut fleet = fleet(63);
    assert!(needs_selection(&fleet));
    fleet.iter_mut().for_each(|n| n.cpu_milli = 120);
    assert!(!needs_selection(&fleet));
    let mut fleet = super::fleet::fleet(65);
    fleet.iter_mut().for_each(|n| n.cpu_milli = 120);
    assert!(needs_selection(&fleet));
}
