//! Reservations of one pool.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_core::rules::AccountLimits;
use azuresaddle_sched::{Ask, LiveStream, Outcome};
use tokio::time::Instant;

use super::support::{ask, decide, decided, engine, pool, stream};

#[test]
fn a_repeated_request_is_one_request() {
    let now = Instant::now();
    let mut pool = pool(now, 2, 400_000);
    pool.enqueue(now, ask(1, now, 1_000));
    pool.enqueue(now, ask(1, now, 1_000));
    assert_eq!(decide(&mut pool, now).len(), 1);
    pool.enqueue(now, ask(1, now, 1_000));
    assert_eq!(decide(&mut pool, now).len(), 0);
    assert_eq!(pool.running(), 1);
}

#[test]
fn a_huge_prompt_gets_all_its_targets_at_once_or_none() {
    let now = Instant::now();
    let mut pool = pool(now, 3, 400_000);
    pool.enqueue(now, ask(1, now, 1_000));
    assert_eq!(decide(&mut pool, now).len(), 1);
    pool.enqueue(now, ask(2, now, 1_150_000));
    assert_eq!(decide(&mut pool, now).len(), 0, "one target is taken");
    pool.on_first_token(now, stream(1));
    pool.on_end(now, stream(1), Outcome::Done { tokens: 400 });
    assert_eq!(decide(&mut pool, now), ["2@e0,e1,e2"]);
}

#[test]
fn a_huge_prompt_is_not_starved_by_short_ones() {
    let mut now = Instant::now();
    let mut pool = pool(now, 3, 400_000);
    let mut next = 100;
    let mut running = Vec::new();
    pool.enqueue(now, ask(1, now, 1_150_000));
    for _ in 0..3 {
        pool.enqueue(now, ask(next, now, 8_000));
        next += 1;
    }
    // Short prompts keep coming, more than the targets can take, and answer in two seconds.
    for _ in 0..600 {
        let decisions = decide(&mut pool, now);
        if decided(&decisions, 1).is_some() {
            return;
        }
        running.extend(decisions.iter().map(|d| {
            let number: u128 = d
                .split('@')
                .next()
                .and_then(|n| n.parse().ok())
                .expect("a grant");
            (now, number)
        }));
        now += Duration::from_millis(100);
        running.retain(|(at, number)| {
            if now >= *at + Duration::from_millis(200) {
                pool.on_first_token(now, stream(*number));
            }
            let ended = now >= *at + Duration::from_secs(2);
            if ended {
                pool.on_end(now, stream(*number), Outcome::Done { tokens: 400 });
            }
            !ended
        });
        pool.enqueue(now, ask(next, now, 8_000));
        next += 1;
    }
    panic!("the huge prompt never started");
}

#[test]
fn long_prompts_leave_targets_to_short_ones() {
    let now = Instant::now();
    let mut pool = pool(now, 10, 400_000);
    for number in 0..20 {
        pool.enqueue(now, ask(number, now, 100_000));
    }
    let long = decide(&mut pool, now).len();
    assert!(
        (1..10).contains(&long),
        "{long} of 10 targets run long prefills"
    );
    pool.enqueue(now, ask(100, now, 1_000));
    assert!(decided(&decide(&mut pool, now), 100).is_some());
}

#[test]
fn what_fits_in_no_pool_is_refused_for_good() {
    let now = Instant::now();
    let mut pool = pool(now, 2, 400_000);
    pool.enqueue(now, ask(1, now, 900_000));
    assert_eq!(
        decide(&mut pool, now),
        ["1!the prompt does not fit in the pool's memory"]
    );
}

#[test]
fn an_unreachable_deadline_is_refused_at_once() {
    let now = Instant::now();
    let mut pool = pool(now, 2, 400_000);
    let deadline = now + Duration::from_secs(2);
    pool.enqueue(
        now,
        Ask {
            deadline,
            ..ask(1, now, 300_000)
        },
    );
    assert_eq!(decide(&mut pool, now), ["1!the deadline can't be met"]);
}

#[test]
fn a_waiting_request_is_refused_once_it_is_too_late() {
    let now = Instant::now();
    let mut pool = pool(now, 1, 400_000);
    pool.enqueue(now, ask(1, now, 1_000));
    assert_eq!(decide(&mut pool, now).len(), 1);
    let deadline = now + Duration::from_secs(60);
    pool.enqueue(
        now,
        Ask {
            deadline,
            ..ask(2, now, 1_000)
        },
    );
    assert_eq!(decide(&mut pool, now).len(), 0);
    let later = pool
        .next_wakeup(now + Duration::from_secs(1))
        .expect("a wakeup is planned");
    assert!(later < deadline);
    // The prefill alone takes 25 ms.
    let in_time = deadline - Duration::from_millis(30);
    assert_eq!(decide(&mut pool, in_time).len(), 0);
    let late = deadline - Duration::from_millis(20);
    assert_eq!(decide(&mut pool, late), ["2!the deadline can't be met"]);
}

#[test]
fn time_is_kept_for_answers_once_their_length_is_known() {
    let mut now = Instant::now();
    let mut pool = pool(now, 1, 400_000);
    for number in 0..100 {
        pool.enqueue(now, ask(number, now, 1_000));
        assert_eq!(decide(&mut pool, now).len(), 1);
        pool.on_first_token(now, stream(number));
        now += Duration::from_secs(10);
        pool.on_end(now, stream(number), Outcome::Done { tokens: 100 });
    }
    // A hundred tokens take ten seconds.
    let soon = now + Duration::from_secs(5);
    pool.enqueue(
        now,
        Ask {
            deadline: soon,
            ..ask(200, now, 1_000)
        },
    );
    assert_eq!(decide(&mut pool, now), ["200!the deadline can't be met"]);
    let later = now + Duration::from_secs(30);
    pool.enqueue(
        now,
        Ask {
            deadline: later,
            ..ask(201, now, 1_000)
        },
    );
    assert!(decided(&decide(&mut pool, now), 201).is_some());
}

#[test]
fn a_leaving_target_gets_nothing_new() {
    let now = Instant::now();
    let mut pool = pool(now, 2, 400_000);
    pool.set_leaving(&engine(0), true);
    for number in 0..2 {
        pool.enqueue(now, ask(number, now, 1_000));
    }
    assert_eq!(decide(&mut pool, now), ["0@e1"]);
}

#[test]
fn accounts_are_held_to_their_limits() {
    let now = Instant::now();
    let mut pool = pool(now, 8, 400_000);
    let limits = AccountLimits {
        max_in_flight: Some(2),
        max_tokens_per_second: None,
    };
    for number in 0..3 {
        pool.enqueue(
            now,
            Ask {
                limits: limits.clone(),
                ..ask(number, now, 1_000)
            },
        );
    }
    let decisions = decide(&mut pool, now);
    let refused = "2!the client account has reached its limit of requests in flight";
    assert_eq!(decisions.iter().filter(|d| *d == refused).count(), 1);
    pool.on_end(now, stream(0), Outcome::Done { tokens: 400 });
    pool.enqueue(
        now,
        Ask {
            limits,
            ..ask(3, now, 1_000)
        },
    );
    assert!(decided(&decide(&mut pool, now), 3).is_some());
}

#[test]
fn a_token_rate_is_held_to_over_ten_seconds() {
    let now = Instant::now();
    let mut pool = pool(now, 8, 400_000);
    let limits = AccountLimits {
        max_in_flight: None,
        max_tokens_per_second: Some(100.0),
    };
    let limited = |number, now| Ask {
        limits: limits.clone(),
        ..ask(number, now, 600)
    };
    pool.enqueue(now, limited(1, now));
    pool.enqueue(now, limited(2, now));
    let refused = "2!the client account has reached its limit of prompt tokens a second";
    assert_eq!(decide(&mut pool, now)[0], refused);
    let later = now + Duration::from_secs(2);
    pool.enqueue(later, limited(3, later));
    assert!(decided(&decide(&mut pool, later), 3).is_some());
}

#[test]
fn a_flooding_account_does_not_pass_others() {
    let now = Instant::now();
    let mut pool = pool(now, 1, 400_000);
    pool.enqueue(now, ask(0, now, 1_000));
    decide(&mut pool, now);
    for number in 1..100 {
        pool.enqueue(now, ask(number, now, 8_000));
    }
    let later = now + Duration::from_millis(10);
    let other = ClientAccount::new("b");
    pool.enqueue(
        later,
        Ask {
            account: other,
            ..ask(500, later, 8_000)
        },
    );
    pool.on_first_token(later, stream(0));
    decide(&mut pool, later);
    pool.on_first_token(later, stream(1));
    assert!(
        decided(&decide(&mut pool, later), 500).is_some(),
        "second in turn"
    );
}

#[test]
fn retries_are_bounded() {
    let now = Instant::now();
    let mut pool = pool(now, 8, 4_000_000);
    let mut refused = 0;
    for number in 0..50 {
        pool.enqueue(
            now,
            Ask {
                stream: stream(number).retry(),
                ..ask(number, now, 1_000)
            },
        );
        let decisions = decide(&mut pool, now);
        refused += decisions
            .iter()
            .filter(|d| d.ends_with("the retry budget is spent"))
            .count();
        pool.on_end(now, stream(number).retry(), Outcome::Done { tokens: 400 });
    }
    assert_eq!(refused, 40, "ten are saved up at the start");
}

#[test]
fn a_new_incarnation_has_lost_its_streams() {
    let now = Instant::now();
    let mut pool = pool(now, 1, 400_000);
    pool.on_incarnation(now, &engine(0), Incarnation(1));
    pool.enqueue(now, ask(1, now, 1_000));
    decide(&mut pool, now);
    assert_eq!(pool.reserved_tokens(&engine(0)), Some(1_100));
    pool.on_incarnation(now, &engine(0), Incarnation(2));
    assert_eq!(pool.reserved_tokens(&engine(0)), Some(0));
}

#[test]
fn a_new_owner_adopts_what_runs() {
    let now = Instant::now();
    let mut pool = pool(now, 2, 400_000);
    let live = LiveStream {
        stream: stream(1),
        node: HostName::new("n"),
        account: ClientAccount::new("a"),
        memory_tokens: 390_000,
        decoding: true,
    };
    pool.adopt(now, &engine(0), &live);
    pool.adopt(now, &engine(0), &live);
    assert_eq!(pool.reserved_tokens(&engine(0)), Some(390_000));
    pool.enqueue(now, ask(2, now, 100_000));
    assert_eq!(decide(&mut pool, now), ["2@e1"]);
}

#[test]
fn a_prefill_that_ends_early_is_not_waited_for() {
    let now = Instant::now();
    let mut pool = pool(now, 2, 400_000);
    for number in 0..2 {
        pool.enqueue(now, ask(number, now, 150_000));
    }
    decide(&mut pool, now);
    let id = PoolId {
        model: Model::new("m"),
        domain: FailureDomain::new("d"),
        shard: 0,
    };
    assert!(pool.digest(now, id.clone()).long_wait > Duration::ZERO);
    for number in 0..2 {
        pool.on_end(now, stream(number), Outcome::Cancelled);
    }
    assert_eq!(pool.digest(now, id).long_wait, Duration::ZERO);
}

#[test]
fn a_target_that_holds_the_prefix_is_preferred() {
    let now = Instant::now();
    let mut pool = pool(now, 4, 400_000);
    let prefix = vec![11, 12, 13, 14];
    pool.on_cache_listing(&engine(2), 7, prefix.clone());
    pool.enqueue(
        now,
        Ask {
            prefix,
            ..ask(1, now, 5_000)
        },
    );
    assert_eq!(decide(&mut pool, now), ["1@e2"]);
}
