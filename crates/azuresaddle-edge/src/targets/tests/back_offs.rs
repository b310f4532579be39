//! Tests of targets that have asked this node to back off.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{advance, sleep};

use super::health::{picked, target};
use crate::targets::TargetHealth;

const PAUSE: Duration = Duration::from_secs(3);

#[tokio::test(start_paused = true)]
async fn a_target_in_back_off_gets_no_request_even_if_no_other_is_left() {
    let health = Arc::<TargetHealth>::default();
    let targets = [target("a"), target("b")];
    health.back_offs().start(&targets[0].id, PAUSE);
    health.on_failure(&targets[1].id);
    health.on_failure(&targets[1].id);
    for _ in 0..20 {
        assert_eq!(
            picked(&health, &targets),
            targets[1].id,
            "a failing target is better than one in back-off"
        );
    }
    assert!(health.pick(&targets[..1], &[], &"d1".into()).is_none());
    advance(PAUSE - Duration::from_millis(1)).await;
    assert!(health.pick(&targets[..1], &[], &"d1".into()).is_none());
    advance(Duration::from_millis(1)).await;
    assert!(health.pick(&targets[..1], &[], &"d1".into()).is_some());
}

#[tokio::test(start_paused = true)]
async fn a_shorter_back_off_does_not_shorten_a_longer_one() {
    let health = TargetHealth::default();
    let id = target("a").id.clone();
    health.back_offs().start(&id, PAUSE);
    health.back_offs().start(&id, Duration::from_millis(100));
    sleep(PAUSE / 2).await;
    assert_eq!(health.back_offs().active(), std::slice::from_ref(&id));
    sleep(PAUSE / 2).await;
    assert!(health.back_offs().active().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_restarted_target_is_not_in_back_off() {
    let health = TargetHealth::default();
    let id = target("a").id.clone();
    health.back_offs().start(&id, Duration::from_secs(3600));
    health.clear(&id);
    assert!(health.back_offs().until(&id).is_none());
}

#[tokio::test(start_paused = true)]
async fn retry_in_is_the_time_until_the_first_target_accepts_requests() {
    let health = TargetHealth::default();
    let targets = [target("a"), target("b")];
    health.back_offs().start(&targets[0].id, PAUSE);
    assert_eq!(health.retry_in(&targets), None, "b takes requests");
    health.on_limited(&targets[1].id, PAUSE / 2);
    assert_eq!(health.retry_in(&targets), Some(PAUSE / 2));
    health.clear_limits();
    assert_eq!(health.retry_in(&targets), None);
    assert_eq!(health.retry_in(&[]), None);
}
