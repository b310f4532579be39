//! Tests of which nodes are asked with a priority.

use std::net::SocketAddr;
use std::time::Duration;

use azuresaddle_sched::passes::DEFAULT_PRIORITY;
use tokio::time::Instant;

use crate::placement::ranked_calls::RankedCalls;

/// Guards against a node of an earlier build that loses its connections with every request of a fleet under update.
#[tokio::test(start_paused = true)]
async fn a_node_that_breaks_off_a_ranked_call_is_asked_without_a_priority_for_a_time() {
    let now = Instant::now();
    let earlier: SocketAddr = ([127, 0, 0, 1], 1).into();
    let present: SocketAddr = ([127, 0, 0, 1], 2).into();
    let calls = RankedCalls::default();
    assert!(calls.are_used(now, earlier, 1));
    calls.on_broken(now, earlier);
    assert!(!calls.are_used(now + Duration::from_secs(10), earlier, 1));
    assert!(calls.are_used(now, present, 1));
    assert!(calls.are_used(now + Duration::from_secs(40), earlier, 1));
}

/// Guards against the new call in a fleet that uses no priorities.
#[tokio::test(start_paused = true)]
async fn the_default_priority_needs_no_ranked_call() {
    let peer: SocketAddr = ([127, 0, 0, 1], 1).into();
    let calls = RankedCalls::default();
    assert!(!calls.are_used(Instant::now(), peer, DEFAULT_PRIORITY));
}
