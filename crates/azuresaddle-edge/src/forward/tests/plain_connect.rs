//! Tests of the connect timeouts of plain requests.

use std::time::Duration;

use tokio::time::{Instant, advance};

use crate::forward::plain_connect::connect_timeout;

/// Connect timeouts, in milliseconds, of attempts that follow each other until the deadline.
async fn timeouts(target_ms: u64, deadline_ms: u64) -> Vec<u64> {
    let arrived = Instant::now();
    let in_time_until = arrived + Duration::from_millis(target_ms);
    let deadline = arrived + Duration::from_millis(deadline_ms);
    let mut timeouts = Vec::new();
    while Instant::now() < deadline {
        let timeout = connect_timeout(in_time_until, deadline);
        timeouts.push(timeout.as_millis() as u64);
        advance(timeout).await;
    }
    timeouts
}

/// Guards against one silent target that uses up the time in which another one could answer.
#[tokio::test(start_paused = true)]
async fn three_targets_are_tried_before_an_answer_is_late() {
    let timeouts = timeouts(300, 4000).await;
    assert_eq!(timeouts[..3], [100, 66, 60]);
    let tried: u64 = timeouts[..3].iter().sum();
    assert!(tried + 60 <= 300, "there is time left for the answer");
}

/// Guards against timeouts that take a busy target for one that is down, or that outlast those of the pool.
#[tokio::test(start_paused = true)]
async fn late_attempts_stay_within_the_bounds() {
    let timeouts = timeouts(300, 4000).await;
    assert!(timeouts.iter().all(|t| (60..=400).contains(t)));
    assert!(timeouts.contains(&400), "{timeouts:?}");
}

/// Guards against long waits for a connection on routes with a long latency target.
#[tokio::test(start_paused = true)]
async fn a_long_latency_target_does_not_lengthen_the_timeout() {
    assert_eq!(timeouts(3000, 8000).await[0], 400);
}
