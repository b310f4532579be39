//! Model test: nodes that use a store with outages, lost history and rollbacks, in random sequences
//! of events.
//!
//! Two of the three nodes watch the store; the third has read it once and receives changes from the
//! others.

mod event;
mod node;
mod nodes;
mod store;
mod world;

use std::time::Duration;

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{RngAlgorithm, TestCaseError, TestRng, TestRunner};

use event::{Event, event};
use node::Without;
use world::World;

/// Duration of a step.
pub(super) const STEP: Duration = Duration::from_millis(100);

/// Steps within which writers rewrite what the store has lost.
pub(super) const REWRITE_STEPS: u64 = 19;

/// Steps for which an entry that the store has lost is kept.
pub(super) const GRACE_STEPS: u64 = 22;

/// Steps after which all nodes must have the content of the store, once writes have ceased and all
/// grace periods are over.
pub(super) const CONVERGENCE_STEPS: u64 = 20;

/// Number of targets.
pub(super) const TARGETS: usize = 4;

/// Number of nodes in the random sequences.
pub(super) const NODES: usize = 3;

/// Size of a fleet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sizes {
    pub(super) nodes: usize,
    /// Number of nodes that watch the store.
    pub(super) watchers: usize,
}

/// Size of the fleet in the random sequences.
pub(super) const SMALL: Sizes = Sizes {
    nodes: NODES,
    watchers: 2,
};

fn run(seed: u64, events: &[Event], without: Without) -> Result<(), String> {
    let mut world = World::new(seed, without, SMALL);
    world.advance(5)?;
    for event in events {
        world.apply(*event)?;
    }
    world.settle()
}

/// Number of random sequences that the test runs; the same ones each time.
const CASES: u32 = 1500;

fn runner(cases: u32) -> TestRunner {
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn event_sequences() -> impl Strategy<Value = (u64, Vec<Event>)> {
    (any::<u64>(), proptest::collection::vec(event(), 1..30))
}

/// Set `AZURESADDLE_SERIES=N` to run more sequences.
#[test]
fn all_nodes_converge_to_the_store_and_none_regresses() {
    let requested = std::env::var("AZURESADDLE_SERIES").ok();
    let cases = requested.and_then(|n| n.parse().ok()).unwrap_or(CASES);
    let result = runner(cases).run(&event_sequences(), |(seed, events)| {
        run(seed, &events, Without::Nothing).map_err(TestCaseError::fail)
    });
    if let Err(e) = result {
        panic!("{e}");
    }
}

/// Guards against restoring a removed target: a node that had read the store after the removal
/// accepted the target from a node that had missed the removal.
#[test]
fn an_entry_that_the_store_no_longer_held_is_not_taken_from_another_node() {
    let outage = Event::Outage {
        steps: 1,
        lapses: true,
    };
    let mut events = vec![
        Event::Wait(3),
        Event::Write(0),
        Event::RollBack(3),
        Event::Write(0),
        Event::Drain(0),
        Event::Restart(0),
        Event::Leave(3),
        Event::Write(0),
        outage,
    ];
    events.extend([Event::Write(0); 5]);
    events.extend([Event::Configure, Event::Write(0), Event::Restart(1)]);
    assert_eq!(
        run(6_701_426_987_596_928_744, &events, Without::Nothing),
        Ok(())
    );
}

/// The store is rolled back twice in a row in a large fleet; four nodes watch it and some restart
/// meanwhile.
#[test]
fn three_hundred_nodes_converge_without_a_fetch_storm() {
    let sizes = Sizes {
        nodes: 300,
        watchers: 4,
    };
    let mut world = World::new(1, Without::Nothing, sizes);
    let mut events = vec![Event::Wait(30), Event::Drain(0), Event::Leave(1)];
    events.extend([Event::Configure, Event::Start(2), Event::RollBack(4)]);
    events.extend([Event::Wait(5), Event::Drain(3), Event::RollBack(3)]);
    events.extend((100..110).map(Event::Restart));
    for event in &events {
        assert_eq!(world.apply(*event), Ok(()));
    }
    assert_eq!(world.settle(), Ok(()));
    // One full fetch at the start of a node, and one for each rollback.
    let most_full = world.nodes.iter().map(|n| n.fetches.0).max();
    assert!(most_full <= Some(3), "{most_full:?} full fetches");
    // At most one incremental fetch per change.
    let changes = usize::try_from(world.store.revision).expect("a small number") + events.len();
    let most = world.nodes.iter().map(|n| n.fetches.1).max();
    assert!(
        most <= Some(changes),
        "{most:?} fetches for {changes} changes"
    );
}

/// Returns how many sequences fail.
fn failures(without: Without) -> usize {
    let mut runner = runner(0);
    let event_sequences = event_sequences();
    let failed = (0..300).filter(|_| {
        let (seed, events) = event_sequences
            .new_tree(&mut runner)
            .expect("an event sequence")
            .current();
        run(seed, &events, without).is_err()
    });
    failed.count()
}

#[test]
fn the_check_fails_without_eras_and_without_numbers() {
    assert_eq!(failures(Without::Nothing), 0);
    assert!(failures(Without::Eras) > 0);
    assert!(failures(Without::Numbers) > 0);
}
