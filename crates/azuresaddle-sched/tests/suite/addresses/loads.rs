//! Load levels of hosts.

use std::time::Duration;

use azuresaddle_sched::addresses::{HostLoads, LEVEL_LIFETIME, LoadLevel, LoadMeter, StatedLoad};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn the_level_follows_the_use_of_the_host() {
    let mut now = Instant::now();
    let mut meter = LoadMeter::default();
    let steps = [
        (0.59, LoadLevel::Normal),
        (0.6, LoadLevel::Raised),
        (0.8, LoadLevel::High),
        (0.95, LoadLevel::Full),
        (0.86, LoadLevel::Full),
        (0.84, LoadLevel::High),
        (0.2, LoadLevel::Normal),
        (1.4, LoadLevel::Full),
        (0.55, LoadLevel::Raised),
        (0.49, LoadLevel::Normal),
    ];
    for (used, level) in steps {
        now += SECOND;
        meter.on_measured(now, used);
        assert_eq!(meter.level(), level, "{used}");
    }
}

/// Guards against callers that change their connections each second because use varies around a threshold.
#[tokio::test(start_paused = true)]
async fn use_that_varies_around_a_threshold_changes_the_level_once() {
    let mut now = Instant::now();
    let mut meter = LoadMeter::default();
    let mut changes = 0;
    for n in 0..100 {
        now += SECOND;
        let used = if n % 2 == 0 { 0.62 } else { 0.55 };
        changes += usize::from(meter.on_measured(now, used).is_some());
    }
    assert_eq!(changes, 1);
}

/// Guards against several changes a second, each of which goes to all nodes.
#[tokio::test(start_paused = true)]
async fn the_level_changes_at_most_once_a_second() {
    let start = Instant::now();
    let mut meter = LoadMeter::default();
    assert_eq!(meter.on_measured(start, 0.7), Some(LoadLevel::Raised));
    let soon = start + SECOND / 2;
    assert_eq!(meter.on_measured(soon, 1.0), None);
    assert_eq!(
        meter.on_measured(start + SECOND, 1.0),
        Some(LoadLevel::Full)
    );
}

fn stated(level: LoadLevel, number: u32, stated_at: Instant) -> StatedLoad {
    StatedLoad {
        level,
        number,
        stated_at,
    }
}

/// Guards against a delayed datagram that brings back an earlier level.
#[tokio::test(start_paused = true)]
async fn an_earlier_statement_does_not_replace_a_later_one() {
    let now = Instant::now();
    let mut loads = HostLoads::default();
    assert!(loads.on_stated(now, 7, stated(LoadLevel::Normal, 2, now)));
    assert!(!loads.on_stated(now, 7, stated(LoadLevel::Full, 1, now)));
    assert!(!loads.on_stated(now, 7, stated(LoadLevel::Full, 2, now)));
    assert_eq!(loads.level(now, 7), LoadLevel::Normal);
}

/// Guards against a node that stays without callers after its later statements were lost or it was restarted.
#[tokio::test(start_paused = true)]
async fn a_level_that_is_not_repeated_expires() {
    let now = Instant::now();
    let mut loads = HostLoads::default();
    loads.on_stated(now, 7, stated(LoadLevel::Full, 1, now));
    let later = now + LEVEL_LIFETIME - Duration::from_millis(1);
    assert_eq!(loads.level(later, 7), LoadLevel::Full);
    assert_eq!(loads.level(now + LEVEL_LIFETIME, 7), LoadLevel::Normal);
    let old = stated(LoadLevel::Full, 9, now);
    assert!(!loads.on_stated(now + LEVEL_LIFETIME, 8, old));
}
