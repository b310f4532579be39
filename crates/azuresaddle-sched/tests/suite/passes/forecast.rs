//! The forecast of demand.

use std::time::Duration;

use azuresaddle_core::bounded_time::saturating_seconds;
use azuresaddle_sched::passes::{
    DemandForecast, Mechanism, PassOptions, PassPool, Sort, StreamOutcome,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use super::{dispatch, id, pool_with, request};

/// Prefill of each prompt, in milliseconds.
const WORK_MS: f64 = 20.0;

/// A forecast with random arrivals from a fixed seed.
struct Demand {
    forecast: DemandForecast,
    rng: StdRng,
    now: Instant,
}

impl Demand {
    fn new(seed: u64) -> Self {
        Self {
            forecast: DemandForecast::default(),
            rng: StdRng::seed_from_u64(seed),
            now: Instant::now(),
        }
    }

    /// Lets prompts arrive at a constant rate for a time; returns the number of level changes.
    fn run(&mut self, sort: Sort, per_s: f64, time: Duration) -> usize {
        let end = self.now + time;
        loop {
            let distance = -(1.0 - self.rng.random::<f64>()).ln() / per_s;
            let at = self.now + saturating_seconds(distance);
            if at >= end {
                break;
            }
            self.now = at;
            self.forecast.on_arrival(at, sort, WORK_MS);
        }
        self.now = end;
        self.forecast.advance(end);
        self.forecast.take_changes().len()
    }

    fn rate(&self, sort: Sort) -> f64 {
        self.forecast.rate(sort).expect("warm").per_s
    }
}

/// Guards against engines that stay arranged for the previous phase for seconds.
///
/// Chance decides when a rise shows, so most of the seeds must meet the limit rather than all.
#[tokio::test(start_paused = true)]
async fn a_rise_by_two_and_a_half_times_is_found_within_three_tenths_of_a_second() {
    let (mut found, mut followed) = (0, 0);
    for seed in 0..40 {
        let mut demand = Demand::new(seed);
        demand.run(Sort::Short, 50.0, Duration::from_secs(10));
        found += demand
            .run(Sort::Short, 125.0, Duration::from_millis(300))
            .min(1);
        // Nearer to the new rate than to the old one.
        followed += usize::from(demand.rate(Sort::Short) > 87.5);
    }
    assert!(found >= 28, "found in {found} of 40");
    assert!(followed >= 32, "followed in {followed} of 40");
}

/// A fall shows later than a rise, since fewer arrivals tell of it.
#[tokio::test(start_paused = true)]
async fn a_fall_is_followed_within_one_and_a_half_seconds() {
    let mut followed = 0;
    for seed in 0..40 {
        let mut demand = Demand::new(seed);
        demand.run(Sort::Short, 125.0, Duration::from_secs(10));
        demand.run(Sort::Short, 50.0, Duration::from_millis(1500));
        followed += usize::from(demand.rate(Sort::Short) < 75.0);
    }
    assert!(followed >= 36, "followed in {followed} of 40");
}

/// Guards against placement that changes with every random cluster of arrivals.
#[tokio::test(start_paused = true)]
async fn noise_at_a_constant_rate_gives_less_than_one_change_a_minute() {
    const MINUTES: u64 = 20;
    for rate in [0.2, 1.0, 3.0, 10.0, 50.0, 120.0, 300.0, 1000.0] {
        let mut demand = Demand::new(7);
        let changes = demand.run(Sort::Short, rate, Duration::from_secs(60 * MINUTES));
        assert!(changes < MINUTES as usize, "{rate} a second: {changes}");
    }
}

/// Guards against a rate that lags behind a slow wave by the time constant of the slow estimate.
#[tokio::test(start_paused = true)]
async fn a_slow_wave_is_followed() {
    let mut demand = Demand::new(3);
    demand.run(Sort::Short, 100.0, Duration::from_secs(10));
    let mut errors = Vec::new();
    for step in 0..260 {
        let angle = f64::from(step) * 0.1 / 13.0 * std::f64::consts::TAU;
        let rate = 100.0 * (1.0 + 0.55 * angle.sin());
        demand.run(Sort::Short, rate, Duration::from_millis(100));
        errors.push((demand.rate(Sort::Short) - rate).abs());
    }
    let mean = errors.iter().sum::<f64>() / errors.len() as f64;
    // A constant forecast of the mean rate is wrong by 35 on average.
    assert!(mean < 20.0, "wrong by {mean} of 100 a second");
}

#[tokio::test(start_paused = true)]
async fn rate_and_work_of_each_sort_are_within_their_errors() {
    let mut demand = Demand::new(5);
    demand.run(Sort::Medium, 40.0, Duration::from_secs(30));
    let rate = demand.forecast.rate(Sort::Medium).unwrap();
    assert!((rate.per_s - 40.0).abs() < 2.0 * rate.error, "{rate:?}");
    assert!((1.0..15.0).contains(&rate.error), "{rate:?}");
    let work = demand.forecast.work(Sort::Medium).unwrap();
    assert!((work.per_s - rate.per_s * WORK_MS).abs() < 1e-6, "{work:?}");
    assert!((work.error - rate.error * WORK_MS).abs() < 1e-6, "{work:?}");
    assert_eq!(demand.forecast.rate(Sort::Long).unwrap().per_s, 0.0);
}

/// Guards against a new owner that acts on a few arrivals as if they were the rate.
#[tokio::test(start_paused = true)]
async fn there_is_no_forecast_until_a_second_of_arrivals_was_seen() {
    let mut demand = Demand::new(1);
    assert_eq!(demand.forecast.rate(Sort::Short), None);
    demand.run(Sort::Short, 50.0, Duration::from_millis(1200));
    assert_eq!(demand.forecast.rate(Sort::Short), None);
    demand.run(Sort::Short, 50.0, Duration::from_millis(300));
    assert!(demand.forecast.rate(Sort::Short).is_some());
}

/// Failure: the owner was lost, and all callers return to the next one together.
#[tokio::test(start_paused = true)]
async fn callers_that_return_together_after_a_handover_are_no_change_of_level() {
    let mut demand = Demand::new(2);
    demand.run(Sort::Short, 50.0, Duration::from_secs(5));
    demand.forecast.on_handover(demand.now);
    for _ in 0..200 {
        demand.forecast.on_arrival(demand.now, Sort::Short, WORK_MS);
    }
    let changes = demand.run(Sort::Short, 50.0, Duration::from_secs(2));
    assert_eq!(changes, 0);
    let rate = demand.rate(Sort::Short);
    assert!((30.0..70.0).contains(&rate), "{rate}");
}

/// Failure: the owner was frozen, so what it knew of the arrivals is out of date.
#[tokio::test(start_paused = true)]
async fn the_forecast_begins_again_after_a_long_gap() {
    let mut demand = Demand::new(4);
    demand.run(Sort::Short, 50.0, Duration::from_secs(5));
    demand.now += Duration::from_secs(9);
    demand.run(Sort::Short, 50.0, Duration::from_millis(100));
    assert_eq!(demand.forecast.rate(Sort::Short), None);
    assert_eq!(demand.forecast.level_changed_at(Sort::Short), None);
}

/// Lets short prompts arrive at a pool for a time, ten milliseconds apart.
fn send_short(pool: &mut PassPool, mut now: Instant, numbers: std::ops::Range<u64>) -> Instant {
    for number in numbers {
        now += Duration::from_millis(10);
        pool.enqueue(now, request(now, number, 3000));
        dispatch(pool, now);
        pool.end(now, id(number), &StreamOutcome::Done);
    }
    now
}

#[tokio::test(start_paused = true)]
async fn a_pool_forecasts_only_if_asked_to() {
    let start = Instant::now();
    for forecast in [true, false] {
        let options = PassOptions {
            forecast,
            ..PassOptions::default()
        };
        let mut pool = pool_with(start, 4, options);
        send_short(&mut pool, start, 0..400);
        let expected = pool.expected_arrivals(Sort::Short);
        assert_eq!(expected.is_some(), forecast);
        assert!(expected.is_none_or(|e| (80.0..120.0).contains(&e.per_s)));
        let disabled = PassOptions {
            forecast,
            ..PassOptions::default()
        }
        .without(Mechanism::Forecast);
        assert!(!disabled.forecast);
    }
}

/// Failure: the ownership passes to another node and back. What was seen before is out of date.
#[tokio::test(start_paused = true)]
async fn a_pool_that_is_owned_again_forecasts_anew() {
    let start = Instant::now();
    let options = PassOptions {
        forecast: true,
        ..PassOptions::default()
    };
    let mut pool = pool_with(start, 4, options);
    let now = send_short(&mut pool, start, 0..400);
    pool.set_owner(now, true);
    assert!(pool.expected_arrivals(Sort::Short).is_some(), "no change");
    pool.set_owner(now, false);
    pool.set_owner(now, true);
    assert_eq!(pool.expected_arrivals(Sort::Short), None);
    let now = send_short(&mut pool, now, 400..440);
    assert_eq!(pool.expected_arrivals(Sort::Short), None);
    send_short(&mut pool, now, 440..600);
    assert!(pool.expected_arrivals(Sort::Short).is_some());
}

/// A request that is sent again while it waits or runs is one arrival.
#[tokio::test(start_paused = true)]
async fn a_repeated_placement_request_counts_once() {
    let start = Instant::now();
    let options = PassOptions {
        forecast: true,
        ..PassOptions::default()
    };
    let mut pool = pool_with(start, 4, options);
    let mut now = start;
    for number in 0..200 {
        now += Duration::from_millis(20);
        for _ in 0..3 {
            pool.enqueue(now, request(now, number, 3000));
        }
        dispatch(&mut pool, now);
        pool.end(now, id(number), &StreamOutcome::Done);
    }
    let rate = pool.expected_arrivals(Sort::Short).expect("warm").per_s;
    assert!((40.0..60.0).contains(&rate), "{rate}");
}
