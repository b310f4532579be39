//! Tests of the bandwidth of complete answers.

use std::time::Duration;

use tokio::time::Instant;

use crate::peer::reply_budget::ReplyBudget;

/// A complete answer in a deployment with a thousand targets, in bytes.
const ANSWER: usize = 360_000;

/// Link of a weak host, in bytes per second.
const WEAK_LINK: f64 = 2_500_000.0;

/// Counts the answers that are accepted of a hundred that are requested at once.
fn accepted(budget: &mut ReplyBudget, now: Instant) -> usize {
    (0..100).filter(|_| budget.accept(now, ANSWER)).count()
}

#[test]
fn a_fleet_that_starts_as_a_whole_does_not_overload_the_first_weak_node() {
    let now = Instant::now();
    let mut budget = ReplyBudget::new(now, WEAK_LINK);
    assert_eq!(accepted(&mut budget, now), 1);
    assert_eq!(accepted(&mut budget, now + Duration::from_millis(200)), 1);
    let seconds = 2..12;
    let later = seconds.map(|s| accepted(&mut budget, now + Duration::from_secs(s)));
    assert_eq!(later.sum::<usize>(), 10);
}

#[test]
fn a_strong_node_answers_a_hundred_in_a_second() {
    let now = Instant::now();
    let mut budget = ReplyBudget::new(now, WEAK_LINK * 50.0);
    let steps = (0..10).map(|n| now + Duration::from_millis(100 * n));
    let answered: usize = steps.map(|at| accepted(&mut budget, at)).sum();
    assert!(answered >= 100, "{answered}");
}

/// Guards against a node with a fast link that keeps the answers to many starting nodes in memory.
#[test]
fn answers_that_wait_to_be_sent_take_a_few_megabytes_on_any_link() {
    let now = Instant::now();
    for link in [WEAK_LINK, WEAK_LINK * 50.0, WEAK_LINK * 1000.0] {
        let mut budget = ReplyBudget::new(now, link);
        assert!(accepted(&mut budget, now) * ANSWER <= 4_000_000);
    }
}

#[test]
fn an_answer_that_takes_longer_than_the_limit_is_sent_alone() {
    let now = Instant::now();
    let mut budget = ReplyBudget::new(now, WEAK_LINK / 100.0);
    assert!(budget.accept(now, ANSWER));
    assert!(!budget.accept(now + Duration::from_secs(1), ANSWER));
}
