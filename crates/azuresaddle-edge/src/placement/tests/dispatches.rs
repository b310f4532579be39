//! Tests of how often the owner tries to place requests that find no room.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::deployment::EngineSpec;
use azuresaddle_core::prelude::*;
use azuresaddle_sched::passes::{
    DEFAULT_PRIORITY, PassOptions, PassPool, PlacementDecision, PlacementId, PlacementRequest,
};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::placement::owner_state::OwnerState;

pub(super) fn engine() -> EngineSpec {
    EngineSpec {
        slots: 1,
        memory_tokens: 450_000,
        steps_per_pass: 46,
        step_ms: 0.925,
        step_ms_per_stream: 0.005,
        step_ms_per_1k_context: 0.003,
        prefill_tokens_per_ms: 256.0,
        attention_ms_per_1m_pairs: 0.09,
        max_prefill_tokens_per_step: 2048,
        helper_hop_ms: 0.1,
        report_lag: Duration::from_millis(200),
        mean_answer_tokens: 1500,
    }
}

pub(super) fn make_request(now: Instant, number: u64) -> PlacementRequest {
    PlacementRequest {
        id: PlacementId { node: 1, number },
        account: ClientAccount::new(format!("account-{number}")),
        domain: FailureDomain::new("d1"),
        prompt_tokens: 4000,
        answer_tokens: 800,
        first_event_by: now + Duration::from_secs(5),
        pause: Duration::from_millis(250),
        give_up_at: now + Duration::from_secs(10),
        deadline: now + Duration::from_secs(15),
        exclude: Vec::new(),
        suspect: None,
        priority: DEFAULT_PRIORITY,
    }
}

/// An owner with one engine that has one slot.
fn state(now: Instant) -> OwnerState {
    let mut state = OwnerState::default();
    let mut pool = PassPool::new(PassOptions::default(), engine());
    pool.upsert_engine(now, &HostName::new("e1"), &FailureDomain::new("d1"), false);
    state.pools.insert(Arc::from("svc"), pool);
    state
}

/// Enqueues a request; the receiver gets its decision.
fn arrive(
    state: &mut OwnerState,
    now: Instant,
    number: u64,
) -> oneshot::Receiver<PlacementDecision> {
    let request = make_request(now, number);
    let (tx, rx) = oneshot::channel();
    state.waiters.insert(request.id, tx);
    let pool = state.pools.get_mut("svc").expect("the pool");
    pool.enqueue(now, request);
    state.dispatch(now);
    rx
}

#[tokio::test(start_paused = true)]
async fn requests_that_find_no_room_at_the_same_time_share_a_dispatch() {
    let now = Instant::now();
    let mut state = state(now);
    let _decisions: Vec<_> = (0..200).map(|n| arrive(&mut state, now, n)).collect();
    assert!(state.dispatches <= 3, "{} dispatches", state.dispatches);
    let next = state.next_wakeup(now).expect("a dispatch is due");
    assert!(next <= now + Duration::from_millis(5));
    state.dispatch(next);
    assert!(!state.is_dispatch_due);
}

#[tokio::test(start_paused = true)]
async fn a_request_that_finds_room_is_placed_at_once() {
    let now = Instant::now();
    let mut state = state(now);
    let _decision = arrive(&mut state, now, 1);
    assert_eq!(state.pools["svc"].running(), 1);
}
