//! Placement on engines that work in passes.

use std::time::Duration;

use azuresaddle_core::deployment::EngineSpec;
use azuresaddle_core::prelude::*;
use azuresaddle_sched::passes::{
    AskId, PassAsk, PassDecision, PassGrant, PassOptions, PassOutcome, PassPool, RunningStream,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

fn spec() -> EngineSpec {
    EngineSpec {
        slots: 16,
        memory_tokens: 450_000,
        steps_per_pass: 46,
        step_ms: 0.925,
        step_ms_per_stream: 0.00483,
        step_ms_per_1k_context: 0.00254,
        read_tokens_per_ms: 256.0,
        ms_per_1m_pairs: 0.0917,
        max_read_tokens_per_step: 2048,
        holder_hop_ms: 0.1,
        report_lag: Duration::from_millis(200),
        usual_answer_tokens: 1540,
    }
}

fn name(n: usize) -> HostName {
    HostName::new(format!("e{n:02}"))
}

fn pool_with(now: Instant, engines: usize, options: PassOptions) -> PassPool {
    let mut pool = PassPool::new(options, spec());
    for n in 0..engines {
        pool.upsert_engine(now, &name(n), &FailureDomain::new("d1"), false);
    }
    pool
}

fn pool(now: Instant, engines: usize) -> PassPool {
    pool_with(now, engines, PassOptions::default())
}

fn id(number: u64) -> AskId {
    AskId { node: 1, number }
}

fn ask(now: Instant, number: u64, prompt_tokens: u64) -> PassAsk {
    let (first, pause) = match prompt_tokens {
        0..30_000 => (300, 200),
        30_000..110_000 => (1500, 500),
        _ => (3000, 800),
    };
    PassAsk {
        id: id(number),
        account: ClientAccount::new("a"),
        domain: FailureDomain::new("d1"),
        prompt_tokens,
        answer_tokens: 800,
        first_event_by: now + Duration::from_millis(first),
        pause: Duration::from_millis(pause),
        give_up_at: now + Duration::from_secs(12),
        deadline: now + Duration::from_secs(15),
        exclude: Vec::new(),
    }
}

/// Dispatches and returns the grants by number.
fn grants(pool: &mut PassPool, now: Instant) -> Vec<(u64, PassGrant)> {
    pool.dispatch(now);
    let granted = |(id, decision): (AskId, PassDecision)| match decision {
        PassDecision::Granted(grant) => Some((id.number, grant)),
        PassDecision::Refused { .. } => None,
    };
    pool.take_decisions()
        .into_iter()
        .filter_map(granted)
        .collect()
}

fn start(pool: &mut PassPool, now: Instant, number: u64, tokens: u64) -> Option<PassGrant> {
    pool.enqueue(now, ask(now, number, tokens));
    let all = grants(pool, now);
    all.into_iter().find(|(n, _)| *n == number).map(|(_, g)| g)
}

fn assert_refused(pool: &mut PassPool, now: Instant, ask: PassAsk) {
    pool.enqueue(now, ask);
    pool.dispatch(now);
    let decisions = pool.take_decisions();
    assert!(
        matches!(decisions[..], [(_, PassDecision::Refused { .. })]),
        "{decisions:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn short_streams_are_packed_and_the_rest_stays_free() {
    let now = Instant::now();
    let mut pool = pool(now, 8);
    let mut used = std::collections::HashSet::new();
    for n in 0..16 {
        let at = now + Duration::from_millis(60 * n);
        let grant = start(&mut pool, at, n, 3000).expect("an engine is free");
        pool.on_first_event(at + Duration::from_millis(50), id(n));
        used.insert(grant.lead);
    }
    assert!(
        used.len() <= 2,
        "16 short streams used {} engines",
        used.len()
    );
}

#[tokio::test(start_paused = true)]
async fn without_packing_they_spread() {
    let now = Instant::now();
    let options = PassOptions {
        pack_short: false,
        ..PassOptions::default()
    };
    let mut pool = pool_with(now, 8, options);
    let mut used = std::collections::HashSet::new();
    for n in 0..16 {
        let at = now + Duration::from_millis(60 * n);
        let grant = start(&mut pool, at, n, 3000).expect("an engine is free");
        pool.on_first_event(at + Duration::from_millis(50), id(n));
        used.insert(grant.lead);
    }
    assert!(
        used.len() > 4,
        "16 short streams used {} engines",
        used.len()
    );
}

#[tokio::test(start_paused = true)]
async fn a_long_prompt_is_split_over_free_engines_and_not_beside_short_streams() {
    let now = Instant::now();
    let mut pool = pool(now, 9);
    let short = start(&mut pool, now, 1, 3000).unwrap();
    pool.on_first_event(now + Duration::from_millis(60), id(1));
    let at = now + Duration::from_millis(100);
    let grant = start(&mut pool, at, 2, 210_000).unwrap();
    assert_ne!(grant.lead, short.lead);
    assert!(!grant.helpers.contains(&short.lead));
    assert!(grant.helpers.len() >= 5, "{} helpers", grant.helpers.len());
    // 2,842 ms over eight engines.
    assert!(
        grant.first_event_in < Duration::from_millis(450),
        "{:?}",
        grant.first_event_in
    );
}

#[tokio::test(start_paused = true)]
async fn a_long_prompt_waits_for_more_engines_while_that_keeps_it_on_time() {
    let now = Instant::now();
    let mut pool = pool(now, 8);
    // Seven engines read for 400 ms.
    for n in 0..7 {
        let busy = start(&mut pool, now, n, 110_000);
        assert!(busy.is_some() || n > 0);
    }
    pool.enqueue(now, ask(now, 50, 280_000));
    let at_once = grants(&mut pool, now);
    let long = at_once.iter().find(|(n, _)| *n == 50);
    assert!(long.is_none_or(|(_, g)| g.first_event_in < Duration::from_secs(3)));
}

#[tokio::test(start_paused = true)]
async fn nothing_begins_that_would_end_after_its_deadline() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    let mut late = ask(now, 1, 300_000);
    // 5,300 ms to read on the only engine.
    late.deadline = now + Duration::from_millis(4000);
    assert_refused(&mut pool, now, late);
}

#[tokio::test(start_paused = true)]
async fn what_no_single_engine_holds_gets_memory_on_several() {
    let now = Instant::now();
    let mut pool = pool(now, 6);
    let grant = start(&mut pool, now, 1, 600_000).unwrap();
    assert!(grant.helper_memory_tokens > 0);
    let lent = grant.helper_memory_tokens * grant.helpers.len() as u64;
    assert!(600_800 - lent <= 450_000);
}

#[tokio::test(start_paused = true)]
async fn a_prompt_larger_than_all_engines_is_refused_at_once() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    let mut huge = ask(now, 1, 900_000);
    huge.give_up_at = now + Duration::from_secs(120);
    huge.deadline = now + Duration::from_secs(120);
    assert_refused(&mut pool, now, huge);
}

#[tokio::test(start_paused = true)]
async fn a_few_short_streams_are_made_late_for_a_long_prompt_that_would_be() {
    let now = Instant::now();
    let both = [true, false].map(|break_pauses| {
        let options = PassOptions {
            break_pauses,
            ..PassOptions::default()
        };
        // So many engines that no part is long enough to silence a stream.
        let mut pool = pool_with(now, 6, options);
        // One leftover short stream on each engine.
        for n in 0..6 {
            pool.sync_node(now, 10 + n, &[running(10 + n, n as usize)], |_| false);
        }
        pool.enqueue(now, ask(now, 90, 210_000));
        let mut granted = None;
        for step in 0..60 {
            let at = now + Duration::from_millis(20 * step);
            let all = grants(&mut pool, at);
            granted = granted.or(all.into_iter().find(|(n, _)| *n == 90));
        }
        granted.is_some()
    });
    assert_eq!(both, [true, false]);
}

fn running(node: u64, engine: usize) -> RunningStream {
    RunningStream {
        id: AskId { node, number: 1 },
        lead: name(engine),
        helpers: Vec::new(),
        helper_memory_tokens: 0,
        prompt_tokens: 3000,
        answer_tokens: 800,
        pause: Duration::from_millis(200),
        is_writing: true,
    }
}

/// Parts that meet on an engine are read in one pass, and none is done before its end.
#[tokio::test(start_paused = true)]
async fn no_part_is_sent_to_an_engine_that_reads_another() {
    let now = Instant::now();
    let mut pool = pool(now, 6);
    let first = start(&mut pool, now, 1, 250_000).unwrap();
    let mut busy = vec![first.lead];
    busy.extend(first.helpers);
    let soon = now + Duration::from_millis(2);
    if let Some(second) = start(&mut pool, soon, 2, 300_000) {
        assert!(!busy.contains(&second.lead));
        assert!(second.helpers.iter().all(|h| !busy.contains(h)));
    }
}

/// A review that is written alone takes four times the engine's time that its prompt takes to read.
#[tokio::test(start_paused = true)]
async fn reviews_are_written_where_short_streams_are() {
    let now = Instant::now();
    let mut pool = pool(now, 8);
    let short = start(&mut pool, now, 1, 3000).unwrap();
    pool.on_first_event(now + Duration::from_millis(60), id(1));
    for n in 2..6 {
        let at = now + Duration::from_millis(400 * n);
        let review = start(&mut pool, at, n, 45_000).unwrap();
        assert_eq!(review.lead, short.lead);
        pool.on_first_event(at + Duration::from_millis(150), id(n));
    }
}

/// Under a load of quicker prompts that takes all engines, a very long one is told at once.
#[tokio::test(start_paused = true)]
async fn what_the_load_of_late_gives_no_chance_is_refused_at_once() {
    let start = Instant::now();
    let mut pool = pool(start, 4);
    let mut now = start;
    for n in 0..40 {
        now += Duration::from_millis(100);
        // 1.4 s of reading ten times a second, on four engines.
        pool.enqueue(now, ask(now, n, 140_000));
        grants(&mut pool, now);
    }
    let mut long = ask(now, 99, 400_000);
    long.give_up_at = now + Duration::from_secs(12);
    pool.enqueue(now, long);
    pool.dispatch(now);
    let decisions = pool.take_decisions();
    let refused = decisions.iter().find_map(|(id, d)| match d {
        PassDecision::Refused { retry_after } if id.number == 99 => Some(*retry_after),
        _ => None,
    });
    assert!(
        refused.is_some_and(|wait| wait > Duration::from_secs(1)),
        "{decisions:?}"
    );
}

/// Streams that are late already still bound a pass: a node takes a long silence for a dead engine.
#[tokio::test(start_paused = true)]
async fn late_streams_are_not_silenced() {
    let now = Instant::now();
    let mut pool = pool(now, 3);
    for n in 0..3 {
        pool.sync_node(now, 10 + n, &[running(10 + n, n as usize)], |_| false);
    }
    for step in 0..200 {
        let at = now + Duration::from_millis(20 * step);
        pool.enqueue(at, ask(at, step, 210_000));
        for (_, grant) in grants(&mut pool, at) {
            let part = 2937.0 / (grant.helpers.len() + 1) as f64;
            assert!(part < 700.0, "a part of {part} ms");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_failing_engine_gets_nothing_for_a_while() {
    let now = Instant::now();
    let mut pool = pool(now, 2);
    let first = start(&mut pool, now, 1, 3000).unwrap();
    pool.end(now, id(1), &PassOutcome::TargetFailed(first.lead.clone()));
    let second = start(&mut pool, now, 2, 3000).unwrap();
    pool.end(now, id(2), &PassOutcome::TargetFailed(second.lead.clone()));
    let failed = if second.lead == first.lead {
        first.lead
    } else {
        let third = start(&mut pool, now, 3, 3000).unwrap();
        pool.end(now, id(3), &PassOutcome::TargetFailed(third.lead.clone()));
        third.lead
    };
    for n in 10..14 {
        let grant = start(&mut pool, now, n, 3000).unwrap();
        assert_ne!(grant.lead, failed);
    }
}

#[tokio::test(start_paused = true)]
async fn a_node_that_is_gone_leaves_nothing_behind() {
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
async fn a_listing_replaces_what_is_known_of_a_node_but_not_newer_grants() {
    let now = Instant::now();
    let mut pool = pool(now, 2);
    for n in 1..=3 {
        assert!(start(&mut pool, now, n, 3000).is_some());
    }
    // The node knew the asks 1 and 2 when it made the listing, and only 2 still runs.
    let mut still = running(1, 0);
    still.id = id(2);
    pool.sync_node(now, 1, &[still], |id| id.number > 2);
    assert_eq!(pool.running(), 2);
}

/// Whatever happens, every ask gets exactly one decision and nothing is left in the ledger.
#[tokio::test(start_paused = true)]
async fn every_ask_gets_one_decision_and_the_ledger_empties() {
    for seed in 0..30 {
        let mut rng = StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut pool = pool(start, 5);
        let mut now = start;
        let mut live = Vec::new();
        let mut decided = std::collections::HashMap::new();
        let mut asked = 0;
        for _ in 0..400 {
            now += Duration::from_millis(rng.random_range(1..60));
            match rng.random_range(0..10) {
                0..=4 => {
                    asked += 1;
                    let tokens = [2000, 9000, 45_000, 210_000, 700_000][rng.random_range(0..5)];
                    pool.enqueue(now, ask(now, asked, tokens));
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
                    let failed = PassOutcome::TargetFailed(name(rng.random_range(0..5)));
                    let outcome = if rng.random_range(0..8) == 0 {
                        failed
                    } else {
                        PassOutcome::Done
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
                if matches!(decision, PassDecision::Granted(_)) {
                    live.push(id.number);
                }
            }
        }
        for number in live {
            pool.end(now, id(number), &PassOutcome::Done);
        }
        now += Duration::from_secs(60);
        pool.dispatch(now);
        for (id, _) in pool.take_decisions() {
            assert!(
                decided.insert(id.number, ()).is_none(),
                "seed {seed}: two decisions"
            );
        }
        assert_eq!(decided.len() as u64, asked, "seed {seed}");
        assert_eq!((pool.running(), pool.waiting()), (0, 0), "seed {seed}");
    }
}
