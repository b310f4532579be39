//! Tests of when a new owner begins to place streams.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::placement::owner_state::OwnerState;
use crate::snapshot::Snapshot;
use crate::tests::snapshots::live_node;

/// Longer than the longest handover.
const LONG: Duration = Duration::from_secs(1);

fn snapshot(nodes: &[u64]) -> Snapshot {
    Snapshot {
        nodes: Arc::new(nodes.iter().copied().map(live_node).collect()),
        running_nodes: nodes.len(),
        owner: 1,
        ..Snapshot::empty()
    }
}

fn follow(state: &mut OwnerState, now: Instant, nodes: &[u64]) {
    let snapshot = snapshot(nodes);
    state.update_ownership(now, &snapshot, 1);
    state.update_nodes(&snapshot.nodes);
}

#[tokio::test(start_paused = true)]
async fn an_owner_that_knows_no_other_node_waits_before_it_places() {
    let now = Instant::now();
    let mut state = OwnerState::default();
    follow(&mut state, now, &[1]);
    state.mark_synced(1);
    assert!(state.is_taking_over(now), "others may be starting too");
    assert!(!state.is_taking_over(now + LONG));
}

#[tokio::test(start_paused = true)]
async fn an_owner_waits_for_nodes_discovered_during_the_handover() {
    let now = Instant::now();
    let mut state = OwnerState::default();
    follow(&mut state, now, &[1]);
    state.mark_synced(1);
    follow(&mut state, now, &[1, 2]);
    assert!(state.is_taking_over(now), "node 2 has not sent its streams");
    state.mark_synced(2);
    assert!(!state.is_taking_over(now));
}

#[tokio::test(start_paused = true)]
async fn an_owner_that_has_begun_to_place_does_not_wait_for_new_nodes() {
    let now = Instant::now();
    let mut state = OwnerState::default();
    follow(&mut state, now, &[1, 2]);
    state.mark_synced(1);
    state.mark_synced(2);
    assert!(!state.is_taking_over(now));
    follow(&mut state, now, &[1, 2, 3]);
    assert!(!state.is_taking_over(now));
}
