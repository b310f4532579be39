//! Property test: the ledger never overcommits a target's memory, and all of it is released in the
//! end.

use std::collections::BTreeMap;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::{Action, Outcome, Pool};
use proptest::prelude::*;
use tokio::time::Instant;

use super::support::{engine, pool, request, stream};

const TARGETS: usize = 4;
const MEMORY: u64 = 100_000;

#[derive(Clone, Debug)]
enum Op {
    Request(u64),
    FirstToken(usize),
    End(usize, u8),
    Leave(usize, bool),
    Restart(usize),
    Wait(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => prop_oneof![4 => 100..9_000_u64, 1 => 9_000..300_000_u64].prop_map(Op::Request),
        3 => (0..64_usize).prop_map(Op::FirstToken),
        3 => (0..64_usize, 0..4_u8).prop_map(|(at, how)| Op::End(at, how)),
        1 => (0..TARGETS, any::<bool>()).prop_map(|(t, leave)| Op::Leave(t, leave)),
        1 => (0..TARGETS).prop_map(Op::Restart),
        2 => (1..5_000_u64).prop_map(Op::Wait),
    ]
}

/// Targets and memory per target of each running attempt, as counted by a caller of the pool.
type Held = BTreeMap<StreamId, (Vec<HostName>, u64)>;

fn dispatch(pool: &mut Pool, now: Instant, held: &mut Held) {
    pool.dispatch(now);
    for action in pool.take_actions() {
        if let Action::Reserved(grant) = action {
            held.insert(grant.stream, (grant.targets, grant.memory_tokens));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn memory_is_conserved(ops in proptest::collection::vec(op(), 1..120)) {
        let mut now = Instant::now();
        let mut pool = pool(now, TARGETS, MEMORY);
        let mut held = Held::new();
        let mut incarnations = [1; TARGETS];
        for (t, incarnation) in incarnations.iter().enumerate() {
            pool.on_incarnation(now, &engine(t), Incarnation(*incarnation));
        }
        for (number, op) in ops.into_iter().enumerate() {
            let running: Vec<_> = held.keys().copied().collect();
            let pick = |at: usize| running.get(at % running.len().max(1)).copied();
            match op {
                Op::Request(tokens) => pool.enqueue(now, request(number as u128, now, tokens)),
                Op::FirstToken(at) => {
                    if let Some(stream) = pick(at) {
                        pool.on_first_token(now, stream);
                    }
                }
                Op::End(at, how) => {
                    if let Some(stream) = pick(at) {
                        let outcomes = [
                            Outcome::Done { tokens: 400 },
                            Outcome::Cancelled,
                            Outcome::TargetRefused,
                            Outcome::TargetFailed,
                        ];
                        pool.on_end(now, stream, outcomes[how as usize]);
                        held.remove(&stream);
                    }
                }
                Op::Leave(t, leave) => pool.set_leaving(&engine(t), leave),
                Op::Restart(t) => {
                    incarnations[t] += 1;
                    pool.on_incarnation(now, &engine(t), Incarnation(incarnations[t]));
                    for (targets, _) in held.values_mut() {
                        targets.retain(|name| *name != engine(t));
                    }
                    held.retain(|_, (targets, _)| !targets.is_empty());
                }
                Op::Wait(ms) => now += Duration::from_millis(ms),
            }
            dispatch(&mut pool, now, &mut held);
            for t in 0..TARGETS {
                let name = engine(t);
                let on_target = held.values().filter(|(targets, _)| targets.contains(&name));
                let expected: u64 = on_target.map(|(_, memory)| memory).sum();
                prop_assert_eq!(pool.reserved_tokens(&name), Some(expected));
                prop_assert!(expected <= MEMORY);
            }
        }
        // Once all streams have ended and all targets are available, nothing is reserved or
        // waiting.
        for t in 0..TARGETS {
            pool.set_leaving(&engine(t), false);
        }
        for _ in 0..400 {
            now += Duration::from_secs(2);
            dispatch(&mut pool, now, &mut held);
            for stream in held.keys() {
                pool.on_first_token(now, *stream);
                pool.on_end(now, *stream, Outcome::Done { tokens: 400 });
            }
            held.clear();
        }
        prop_assert_eq!(pool.running(), 0);
        prop_assert_eq!(pool.waiting(), 0);
        prop_assert!(!pool.knows(stream(9_999)));
    }
}
