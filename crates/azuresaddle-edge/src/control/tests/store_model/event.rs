//! Random events of the model test.

use proptest::prelude::*;

use super::{NODES, TARGETS};

/// An event between two steps.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// A target rewrites its entry.
    Write(usize),
    /// A target announces that it is draining.
    Drain(usize),
    /// A target leaves, and its entry is removed.
    Leave(usize),
    /// A target restarts or returns.
    Start(usize),
    /// The operator writes a new configuration.
    Configure,
    /// The store is unavailable for some steps; entries may lapse.
    Outage { steps: u64, lapses: bool },
    /// The store is rolled back by a number of changes.
    RollBack(usize),
    /// The store compacts its history.
    Compact,
    /// A node cannot reach the store for some steps.
    Disconnect { node: usize, steps: u64 },
    /// A node restarts without state.
    Restart(usize),
    /// Only time passes.
    Wait(u64),
}

pub(super) fn event() -> impl Strategy<Value = Event> {
    let target = 0..TARGETS;
    prop_oneof![
        3 => target.clone().prop_map(Event::Write),
        3 => target.clone().prop_map(Event::Drain),
        2 => target.clone().prop_map(Event::Leave),
        3 => target.prop_map(Event::Start),
        2 => Just(Event::Configure),
        2 => (1..15_u64, any::<bool>()).prop_map(|(steps, lapses)| Event::Outage { steps, lapses }),
        3 => (0..8_usize).prop_map(Event::RollBack),
        1 => Just(Event::Compact),
        2 => (0..NODES, 1..30_u64).prop_map(|(node, steps)| Event::Disconnect { node, steps }),
        2 => (0..NODES).prop_map(Event::Restart),
        4 => (1..15_u64).prop_map(Event::Wait),
    ]
}
