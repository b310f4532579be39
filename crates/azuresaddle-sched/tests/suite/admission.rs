//! Admission: deadlines, limits, fairness and the retry budget.

use std::time::Duration;

use azuresaddle_core::bounded_time::MAX_DURATION;
use azuresaddle_core::bounded_tokens::MAX_TOKENS;
use azuresaddle_core::prelude::*;
use azuresaddle_core::rules::AccountLimits;
use azuresaddle_sched::{Outcome, ReservationRequest};
use proptest::prelude::*;
use proptest::sample::select;
use tokio::time::Instant;

use super::support::{decide, decided, pool, request, stream};

#[test]
fn a_prompt_larger_than_the_pool_is_refused_for_good() {
    let now = Instant::now();
    let mut pool = pool(now, 2, 400_000);
    pool.enqueue(now, request(1, now, 900_000));
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
        ReservationRequest {
            deadline,
            ..request(1, now, 300_000)
        },
    );
    assert_eq!(decide(&mut pool, now), ["1!the deadline can't be met"]);
}

#[test]
fn a_waiting_request_is_refused_once_it_is_too_late() {
    let now = Instant::now();
    let mut pool = pool(now, 1, 400_000);
    pool.enqueue(now, request(1, now, 1_000));
    assert_eq!(decide(&mut pool, now).len(), 1);
    let deadline = now + Duration::from_secs(60);
    pool.enqueue(
        now,
        ReservationRequest {
            deadline,
            ..request(2, now, 1_000)
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
fn time_for_the_answer_is_reserved_once_its_length_is_learned() {
    let mut now = Instant::now();
    let mut pool = pool(now, 1, 400_000);
    for number in 0..100 {
        pool.enqueue(now, request(number, now, 1_000));
        assert_eq!(decide(&mut pool, now).len(), 1);
        pool.on_first_token(now, stream(number));
        now += Duration::from_secs(10);
        pool.on_end(now, stream(number), Outcome::Done { tokens: 100 });
    }
    // An answer of 100 tokens takes ten seconds.
    let soon = now + Duration::from_secs(5);
    pool.enqueue(
        now,
        ReservationRequest {
            deadline: soon,
            ..request(200, now, 1_000)
        },
    );
    assert_eq!(decide(&mut pool, now), ["200!the deadline can't be met"]);
    let later = now + Duration::from_secs(30);
    pool.enqueue(
        now,
        ReservationRequest {
            deadline: later,
            ..request(201, now, 1_000)
        },
    );
    assert!(decided(&decide(&mut pool, now), 201).is_some());
}

#[test]
fn in_flight_limits_of_accounts_are_enforced() {
    let now = Instant::now();
    let mut pool = pool(now, 8, 400_000);
    let limits = AccountLimits {
        max_in_flight: Some(2),
        max_tokens_per_second: None,
    };
    for number in 0..3 {
        pool.enqueue(
            now,
            ReservationRequest {
                limits: limits.clone(),
                ..request(number, now, 1_000)
            },
        );
    }
    let decisions = decide(&mut pool, now);
    let refused = "2!the client account has reached its limit of requests in flight";
    assert_eq!(decisions.iter().filter(|d| *d == refused).count(), 1);
    pool.on_end(now, stream(0), Outcome::Done { tokens: 400 });
    pool.enqueue(
        now,
        ReservationRequest {
            limits,
            ..request(3, now, 1_000)
        },
    );
    assert!(decided(&decide(&mut pool, now), 3).is_some());
}

#[test]
fn a_token_rate_limit_is_enforced_over_ten_seconds() {
    let now = Instant::now();
    let mut pool = pool(now, 8, 400_000);
    let limits = AccountLimits {
        max_in_flight: None,
        max_tokens_per_second: Some(100.0),
    };
    let limited = |number, now| ReservationRequest {
        limits: limits.clone(),
        ..request(number, now, 600)
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
fn a_flooding_account_does_not_starve_others() {
    let now = Instant::now();
    let mut pool = pool(now, 1, 400_000);
    pool.enqueue(now, request(0, now, 1_000));
    decide(&mut pool, now);
    for number in 1..100 {
        pool.enqueue(now, request(number, now, 8_000));
    }
    let later = now + Duration::from_millis(10);
    let other = ClientAccount::new("b");
    pool.enqueue(
        later,
        ReservationRequest {
            account: other,
            ..request(500, later, 8_000)
        },
    );
    pool.on_first_token(later, stream(0));
    decide(&mut pool, later);
    pool.on_first_token(later, stream(1));
    assert!(
        decided(&decide(&mut pool, later), 500).is_some(),
        "the other account is served second"
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
            ReservationRequest {
                stream: stream(number).retry(),
                ..request(number, now, 1_000)
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

/// The usual number, or any other that rules allow.
fn number(usual: f64) -> impl Strategy<Value = f64> {
    prop_oneof![
        Just(usual),
        select(vec![f64::MIN_POSITIVE, 1e-300, 1e300, f64::MAX]),
        any::<f64>().prop_map(f64::abs),
    ]
}

fn odd_request() -> impl Strategy<Value = (u64, u64, f64, Option<f64>, Duration)> {
    let tokens = || select(vec![0, 1, 1_000, 300_000, MAX_TOKENS]);
    let time = select(vec![
        Duration::ZERO,
        Duration::from_millis(350),
        MAX_DURATION,
    ]);
    let rate = proptest::option::of(number(1_000.0));
    (tokens(), tokens(), number(1.0), rate, time)
}

proptest! {
    /// Guards against an owner that ends at a weight or a limit in the rules.
    #[test]
    fn no_number_in_a_rule_ends_the_pool(requests in proptest::collection::vec(odd_request(), 1..20)) {
        let mut now = Instant::now();
        let mut pool = pool(now, 2, MAX_TOKENS);
        for (number, (prompt_tokens, max_tokens, weight, rate, target)) in (0..).zip(requests) {
            let limits = AccountLimits { max_tokens_per_second: rate, ..Default::default() };
            pool.enqueue(now, ReservationRequest {
                max_tokens,
                weight,
                limits,
                first_token_target: target,
                ..request(number, now, prompt_tokens)
            });
            decide(&mut pool, now);
            pool.on_first_token(now, stream(number));
            now += Duration::from_millis(350);
            pool.on_end(now, stream(number), Outcome::Done { tokens: 10 });
            decide(&mut pool, now);
        }
    }
}
