//! Tests of rate limits of plain targets, which the owner counts for all nodes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::deployment::RateLimit;
use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use crate::placement::owner_state::OwnerState;

/// Time span over which a rate limit is enforced.
const SPAN: Duration = Duration::from_secs(4);

fn limit(rate: f64) -> RateLimit {
    RateLimit::per_second(rate).unwrap()
}

fn target() -> HostName {
    HostName::new("t")
}

/// Number of permits granted if one is requested every millisecond.
fn count_granted(state: &mut OwnerState, from: Instant, length: Duration) -> usize {
    let moments = (0..length.as_millis() as u64).map(|ms| from + Duration::from_millis(ms));
    moments
        .filter(|now| state.take_permit(*now, &target(), limit(1.9)).is_ok())
        .count()
}

#[tokio::test(start_paused = true)]
async fn the_limit_holds_for_requests_of_all_nodes_together() {
    let now = Instant::now();
    let mut state = OwnerState::default();
    let total = count_granted(&mut state, now, SPAN * 5);
    assert!((36..=41).contains(&total), "{total}");
}

#[tokio::test(start_paused = true)]
async fn a_denied_permit_says_when_the_next_request_may_pass() {
    let now = Instant::now();
    let mut state = OwnerState::default();
    let wait = state.take_permit(now, &target(), limit(0.5)).unwrap_err();
    assert_eq!(wait, Duration::from_secs(2));
    assert!(state.take_permit(now + wait, &target(), limit(0.5)).is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_limit_that_is_removed_and_set_again_starts_a_new_bucket() {
    let now = Instant::now();
    let mut state = OwnerState::default();
    let limits = |rate| Arc::new(HashMap::from([(target(), limit(rate))]));
    state.update_rate_limits(now, &limits(1.0));
    assert!(count_granted(&mut state, now, SPAN) <= 5);
    state.update_rate_limits(now + SPAN, &Arc::default());
    assert!(state.plain_target_buckets.is_empty());
    state.update_rate_limits(now + SPAN, &limits(1.0));
    let total = count_granted(&mut state, now + SPAN, SPAN);
    assert!(
        total <= 5,
        "{total}: the owner's limit takes precedence over the requesting node's"
    );
}
