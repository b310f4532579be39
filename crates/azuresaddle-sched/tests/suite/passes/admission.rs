//! More requests than the engines can start, with admission by the estimated wait.

use std::time::Duration;

use tokio::time::Instant;

use super::*;

/// Time between two arrivals of an overload: several times what an engine starts.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(5);

/// Time for which a stream runs.
const STREAM_TIME: Duration = Duration::from_millis(1500);

fn admission() -> PassOptions {
    PassOptions {
        admission: true,
        ..PassOptions::default()
    }
}

/// A refusal, with the time at which the caller was told to retry.
struct Refusal {
    waited: Duration,
    retry_after: Duration,
    retry_at: Instant,
}

/// A stream that runs.
struct Running {
    number: u64,
    first_at: Instant,
}

/// Decisions about the requests of an overload.
#[derive(Default)]
struct Decisions {
    started: Vec<u64>,
    refused: Vec<Refusal>,
}

/// Sends requests made by `make` for a time, numbered from `first`, and runs those that are granted.
fn overload(
    pool: &mut PassPool,
    now: Instant,
    time: Duration,
    first: u64,
    make: impl Fn(Instant, u64) -> PlacementRequest,
) -> Decisions {
    let mut decisions = Decisions::default();
    let mut running: Vec<Running> = Vec::new();
    let arrival = |number: u64| now + ARRIVAL_INTERVAL * (number - first) as u32;
    let count = time.as_millis() / ARRIVAL_INTERVAL.as_millis();
    for number in first..first + count as u64 {
        let at = arrival(number);
        for stream in running.iter().filter(|s| s.first_at <= at) {
            pool.on_first_event(at, id(stream.number));
        }
        for stream in running.extract_if(.., |s| s.first_at + STREAM_TIME <= at) {
            pool.end(at, id(stream.number), &StreamOutcome::Done);
        }
        pool.enqueue(at, make(at, number));
        pool.dispatch(at);
        for (id, decision) in pool.take_decisions() {
            if id.number < first {
                continue;
            }
            match decision {
                PlacementDecision::Granted(grant) => {
                    running.push(Running {
                        number: id.number,
                        first_at: at + grant.first_event_in,
                    });
                    decisions.started.push(id.number);
                }
                PlacementDecision::Refused { retry_after } => decisions.refused.push(Refusal {
                    waited: at - arrival(id.number),
                    retry_at: at + retry_after,
                    retry_after,
                }),
            }
        }
    }
    decisions
}

fn short(at: Instant, number: u64) -> PlacementRequest {
    PlacementRequest {
        account: ClientAccount::new(format!("a{}", number % 10)),
        give_up_at: at + Duration::from_secs(2),
        ..request(at, number, 4_000)
    }
}

fn refused_after_a_wait(decisions: &Decisions) -> usize {
    let waited = |r: &&Refusal| r.waited > Duration::from_millis(30);
    decisions.refused.iter().filter(waited).count()
}

/// Guards against requests that are held for most of their caller's time and then refused.
#[tokio::test(start_paused = true)]
async fn requests_beyond_what_engines_can_do_are_refused_on_arrival() {
    let now = Instant::now();
    let time = Duration::from_secs(6);
    let decisions = overload(&mut pool_with(now, 2, admission()), now, time, 0, short);
    let late = refused_after_a_wait(&decisions);
    let all = decisions.refused.len();
    assert!(all > 200, "{all}");
    assert!(late * 10 < all, "{late} of {all}");
    let before = overload(&mut pool(now, 2), now, time, 0, short);
    let late_before = refused_after_a_wait(&before);
    assert!(late_before > late, "{late_before} without, {late} with");
    assert!(decisions.started.len() * 20 >= before.started.len() * 19);
}

/// Guards against refused callers that all return at the same moment.
#[tokio::test(start_paused = true)]
async fn refused_callers_return_spread_over_time() {
    let now = Instant::now();
    let mut pool = pool_with(now, 2, admission());
    let decisions = overload(&mut pool, now, Duration::from_secs(4), 0, short);
    let mut per_slot = std::collections::BTreeMap::<u128, usize>::new();
    for refusal in &decisions.refused {
        let at = refusal.retry_at.duration_since(now);
        *per_slot.entry(at.as_millis() / 100).or_default() += 1;
        let third = Duration::from_secs(2) / 3;
        assert!(refusal.retry_after >= Duration::from_millis(200));
        assert!(refusal.retry_after <= third, "{:?}", refusal.retry_after);
    }
    // 20 requests arrive in each slot.
    let most = per_slot.values().max().copied().unwrap_or(0);
    assert!(most <= 40, "{per_slot:?}");
}

/// Guards against refusals of callers that return together while the engines have room.
#[tokio::test(start_paused = true)]
async fn a_burst_of_returning_callers_is_accepted() {
    let now = Instant::now();
    let mut pool = pool_with(now, 4, admission());
    for number in 0..60 {
        pool.enqueue(now, short(now, number));
    }
    pool.dispatch(now);
    let decisions = pool.take_decisions();
    let is_refused = |d: &PlacementDecision| matches!(d, PlacementDecision::Refused { .. });
    assert!(decisions.iter().all(|(_, d)| !is_refused(d)));
}

/// Guards against refusals of callers that return after an outage of all nodes, most of them without another retry: they
/// come within a second, more than a new owner can start, and it has just learned the rate of starts.
#[tokio::test(start_paused = true)]
async fn callers_that_return_to_a_new_owner_are_not_refused_on_arrival() {
    let now = Instant::now();
    let mut pool = pool_with(now, 4, admission());
    pool.set_owner(now, false);
    pool.set_owner(now, true);
    for number in 0..96 {
        let at = now + ARRIVAL_INTERVAL * number as u32;
        pool.enqueue(at, short(at, number));
        pool.dispatch(at);
        let decisions = pool.take_decisions();
        let is_refused = |d: &PlacementDecision| matches!(d, PlacementDecision::Refused { .. });
        assert!(
            decisions.iter().all(|(_, d)| !is_refused(d)),
            "request {number}"
        );
    }
}

/// Guards against less urgent requests that take the slots of more urgent ones.
#[tokio::test(start_paused = true)]
async fn urgent_requests_are_not_served_less_often() {
    let now = Instant::now();
    let mut pool = pool_with(now, 2, admission());
    let priority = |number: u64| (number % 3) as u8;
    let decisions = overload(&mut pool, now, Duration::from_secs(6), 0, |at, number| {
        PlacementRequest {
            priority: priority(number),
            ..short(at, number)
        }
    });
    let started = |p: u8| {
        let of = decisions.started.iter().filter(|n| priority(**n) == p);
        of.count()
    };
    assert!(started(0) >= started(1), "{} {}", started(0), started(1));
    assert!(started(1) >= started(2), "{} {}", started(1), started(2));
    assert!(started(0) > started(2) * 2, "{} {}", started(0), started(2));
}

/// Guards against a change of the order where admission is off.
#[tokio::test(start_paused = true)]
async fn priority_has_no_effect_without_admission() {
    let now = Instant::now();
    let with_priority = |at, number: u64| PlacementRequest {
        priority: (number % 3) as u8,
        ..short(at, number)
    };
    let time = Duration::from_secs(3);
    let ranked = overload(&mut pool(now, 2), now, time, 0, with_priority);
    let plain = overload(&mut pool(now, 2), now, time, 0, short);
    assert_eq!(ranked.started, plain.started);
}

/// Guards against refusals that go on with the rate of engines that are lost, or of none.
#[tokio::test(start_paused = true)]
async fn engines_that_are_lost_and_return_are_noticed() {
    let now = Instant::now();
    let mut pool = pool_with(now, 4, admission());
    overload(&mut pool, now, Duration::from_secs(2), 0, short);
    let later = now + Duration::from_secs(2);
    pool.retain_engines(|known| *known == name(0));
    let lost = overload(&mut pool, later, Duration::from_secs(2), 10_000, short);
    let waited = refused_after_a_wait(&lost);
    assert!(waited * 4 < lost.refused.len(), "{waited}");
}
