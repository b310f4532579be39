//! Detection and avoidance of slow engines.

use std::time::Duration;

use tokio::time::Instant;

use super::*;

const SLOW: f64 = 4.0;

#[tokio::test(start_paused = true)]
async fn an_overdue_first_event_triggers_a_probe() {
    let now = Instant::now();
    let mut pool = pool(now, 3);
    let grant = start(&mut pool, now, 1, 3000).unwrap();
    assert_eq!(pool.take_pace_probes(now), []);
    let late = now + grant.first_event_in * 2 + Duration::from_millis(60);
    assert_eq!(
        pool.take_pace_probes(late),
        std::slice::from_ref(&grant.lead)
    );
    // One report of full speed clears the suspicion.
    pool.on_pace(late, &grant.lead, 1.0);
    let later = late + Duration::from_secs(5);
    assert_eq!(pool.take_pace_probes(later), []);
}

#[tokio::test(start_paused = true)]
async fn a_first_event_on_time_triggers_no_probe() {
    let now = Instant::now();
    let mut pool = pool(now, 3);
    let grant = start(&mut pool, now, 1, 3000).unwrap();
    pool.on_first_event(now + grant.first_event_in, id(1));
    let later = now + Duration::from_secs(5);
    assert_eq!(pool.take_pace_probes(later), []);
}

#[tokio::test(start_paused = true)]
async fn a_slow_engine_is_avoided_and_probed_again() {
    let now = Instant::now();
    let mut pool = pool(now, 3);
    pool.on_pace(now, &name(0), SLOW);
    for number in 1..=6 {
        let grant = start(&mut pool, now, number, 3000).unwrap();
        assert_ne!(grant.lead, name(0));
    }
    let long = start(&mut pool, now, 7, 60_000).unwrap();
    assert!(!long.helpers.contains(&name(0)), "{long:?}");

    assert_eq!(pool.take_pace_probes(now), [name(0)]);
    let later = now + Duration::from_secs(2);
    assert!(pool.take_pace_probes(later).contains(&name(0)));
    pool.on_pace(later, &name(0), 1.0);
    let after = later + Duration::from_secs(2);
    assert!(!pool.take_pace_probes(after).contains(&name(0)));
}

#[tokio::test(start_paused = true)]
async fn the_expected_first_event_accounts_for_the_pace() {
    let now = Instant::now();
    let mut slow = pool(now, 1);
    slow.on_pace(now, &name(0), SLOW);
    let reference = start(&mut pool(now, 1), now, 1, 45_000).unwrap();
    let slow = start(&mut slow, now, 1, 45_000).unwrap();
    let ratio = slow.first_event_in.as_secs_f64() / reference.first_event_in.as_secs_f64();
    assert!((ratio - SLOW).abs() < 0.1, "{ratio}");
}

#[tokio::test(start_paused = true)]
async fn an_invalid_pace_is_ignored() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    for factor in [f64::NAN, -1.0, 0.0, f64::INFINITY] {
        pool.on_pace(now, &name(0), factor);
    }
    let grant = start(&mut pool, now, 1, 3000).unwrap();
    assert!(grant.first_event_in < Duration::from_millis(100));
}

/// When the owner was stalled, every first event seems overdue.
#[tokio::test(start_paused = true)]
async fn probes_of_all_engines_are_spread_over_time_and_skip_none() {
    const ENGINES: usize = 150;
    let now = Instant::now();
    let mut pool = pool(now, ENGINES);
    for number in 0..ENGINES as u64 {
        let mut request = request(now, number, 100_000);
        request.first_event_by = now + Duration::from_millis(100_000);
        pool.enqueue(now, request);
        pool.dispatch(now);
    }
    let late = now + Duration::from_secs(20);
    let mut probed = Vec::new();
    let mut in_first_second = 0;
    for tick in 0..100 {
        let now = late + Duration::from_millis(tick * 40);
        probed.extend(pool.take_pace_probes(now));
        if tick < 25 {
            in_first_second = probed.len();
        }
    }
    assert!(in_first_second <= 80, "{in_first_second} in a second");
    probed.sort();
    probed.dedup();
    assert!(probed.len() > 100, "{} engines probed", probed.len());
}
