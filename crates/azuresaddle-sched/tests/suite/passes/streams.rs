//! Tracking of the streams that run on the engines.

use std::time::Duration;

use azuresaddle_core::deployment::{EngineSpec, TargetStart};
use azuresaddle_core::prelude::*;
use azuresaddle_sched::passes::{PlacementDecision, StreamOutcome};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use super::*;

#[tokio::test(start_paused = true)]
async fn streams_of_a_removed_node_are_dropped() {
    let now = Instant::now();
    let mut pool = pool(now, 2);
    for n in 0..5 {
        assert!(start(&mut pool, now, n, 3000).is_some());
    }
    assert_eq!(pool.running(), 5);
    pool.retain_nodes(|node| node != 1);
    assert_eq!(pool.running(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_node_sync_replaces_its_streams_except_newer_grants() {
    let now = Instant::now();
    let mut pool = pool(now, 2);
    for n in 1..=3 {
        assert!(start(&mut pool, now, n, 3000).is_some());
    }
    // When it sent the listing, the node knew requests 1 and 2, and only 2 was still running.
    let mut still = running_stream(1, 0);
    still.id = id(2);
    pool.sync_node(now, 1, &[still], |id| id.number > 2);
    assert_eq!(pool.running(), 2);
}

/// After a change of owner, engines in the middle of an 8 s prefill seemed idle to the new owner
/// and received parts of every prompt.
#[tokio::test(start_paused = true)]
async fn a_new_owner_knows_which_engines_are_prefilling() {
    let now = Instant::now();
    let mut pool = pool(now, 3);
    let mut prefilling = running_stream(1, 0);
    prefilling.helpers = vec![name(1)];
    prefilling.prompt_tokens = 400_000;
    prefilling.is_decoding = false;
    prefilling.first_event_in = Duration::from_secs(4);
    pool.sync_node(now, 1, &[prefilling], |_| false);

    let long = start(&mut pool, now, 2, 60_000).unwrap();
    assert_eq!((long.lead, long.helpers), (name(2), Vec::new()));

    // The first event ends the prefill sooner than expected.
    pool.on_first_event(now, PlacementId { node: 1, number: 1 });
    let next = start(&mut pool, now, 3, 60_000).unwrap();
    assert_eq!((next.lead, next.helpers), (name(1), Vec::new()));
}

/// Guards against engines that keep their slots for a stream that runs elsewhere, since two nodes placed it while the
/// owner changed.
#[tokio::test(start_paused = true)]
async fn a_node_sync_moves_a_stream_that_another_node_placed_elsewhere() {
    let now = Instant::now();
    let mut pool = pool_of_one_slot_engines(now, 2);
    let ours = start(&mut pool, now, 1, 3000).unwrap();
    let other = usize::from(ours.lead == name(0));
    pool.sync_node(now, 1, &[running_stream(1, other)], |_| false);
    assert_eq!(pool.running(), 1);
    let next = start(&mut pool, now, 2, 3000).unwrap();
    assert_eq!(next.lead, ours.lead);
}

/// Guards against a restarted engine that seems to run the streams of its earlier start.
#[tokio::test(start_paused = true)]
async fn a_node_sync_does_not_move_a_stream_to_the_next_start_of_its_engine() {
    let now = Instant::now();
    let mut pool = pool_of_one_slot_engines(now, 1);
    pool.record_start(now, &name(0), TargetStart(1));
    assert!(start(&mut pool, now, 1, 3000).is_some());
    pool.record_start(now, &name(0), TargetStart(2));
    pool.sync_node(now, 1, &[running_stream(1, 0)], |_| false);
    assert!(start(&mut pool, now, 2, 3000).is_some());
}

fn pool_of_one_slot_engines(now: Instant, engines: usize) -> PassPool {
    let mut pool = pool(now, engines);
    pool.set_spec(&EngineSpec { slots: 1, ..spec() });
    pool
}

/// Random sequences of events: every request gets exactly one decision, and no stream stays tracked
/// after its end.
#[tokio::test(start_paused = true)]
async fn every_request_gets_one_decision_and_all_streams_are_released() {
    for seed in 0..30 {
        let mut rng = StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut pool = pool(start, 5);
        let mut now = start;
        let mut live = Vec::new();
        let mut decided = std::collections::HashMap::new();
        let mut requested = 0;
        for _ in 0..400 {
            now += Duration::from_millis(rng.random_range(1..60));
            match rng.random_range(0..10) {
                0..=4 => {
                    requested += 1;
                    let tokens = [2000, 9000, 45_000, 210_000, 700_000][rng.random_range(0..5)];
                    pool.enqueue(now, request(now, requested, tokens));
                }
                5..=6 if !live.is_empty() => {
                    let at = rng.random_range(0..live.len());
                    pool.on_first_event(now, id(live[at]));
                }
                7 => pool.upsert_engine(
                    now,
                    &name(rng.random_range(0..5)),
                    &FailureDomain::new("d1"),
                    rng.random(),
                ),
                _ if !live.is_empty() => {
                    let number = live.swap_remove(rng.random_range(0..live.len()));
                    let failed = StreamOutcome::TargetFailed(name(rng.random_range(0..5)));
                    let outcome = if rng.random_range(0..8) == 0 {
                        failed
                    } else {
                        StreamOutcome::Done
                    };
                    pool.end(now, id(number), &outcome);
                }
                _ => {}
            }
            pool.dispatch(now);
            for (id, decision) in pool.take_decisions() {
                assert!(
                    decided.insert(id.number, ()).is_none(),
                    "seed {seed}: two decisions"
                );
                if matches!(decision, PlacementDecision::Granted(_)) {
                    live.push(id.number);
                }
            }
        }
        for number in live {
            pool.end(now, id(number), &StreamOutcome::Done);
        }
        now += Duration::from_secs(60);
        pool.dispatch(now);
        for (id, _) in pool.take_decisions() {
            assert!(
                decided.insert(id.number, ()).is_none(),
                "seed {seed}: two decisions"
            );
        }
        assert_eq!(decided.len() as u64, requested, "seed {seed}");
        assert_eq!((pool.running(), pool.waiting()), (0, 0), "seed {seed}");
    }
}
