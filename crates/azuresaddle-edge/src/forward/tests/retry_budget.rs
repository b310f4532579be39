//! Tests of the retry budget.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::deployment::Bounds;

use crate::forward::retry_budget::RetryBudget;

fn budget() -> RetryBudget {
    RetryBudget::new(Bounds {
        stop_grace: Duration::from_secs(8),
        retry_ratio: 0.2,
        retry_extra: 100.0,
        retry_window: Duration::from_secs(10),
        max_address_ttl: Duration::from_secs(5),
        max_hold: Duration::from_secs(20),
        target_stall: Duration::from_millis(1500),
    })
}

#[tokio::test(start_paused = true)]
async fn shares_of_all_nodes_stay_within_the_budget() {
    let service: Arc<str> = Arc::from("s");
    let mut taken = 0;
    for _ in 0..7 {
        let budget = budget();
        for _ in 0..50 {
            budget.on_request(&service);
        }
        taken += (0..1000).filter(|_| budget.try_take(&service, 7)).count();
    }
    assert!(taken <= (0.2 * 350.0 + 100.0) as usize, "{taken} retries");
    assert!(taken >= 80, "{taken} retries");
}

#[tokio::test(start_paused = true)]
async fn the_window_slides() {
    let service: Arc<str> = Arc::from("s");
    let budget = budget();
    let first = (0..1000).filter(|_| budget.try_take(&service, 1)).count();
    assert!(!budget.try_take(&service, 1));
    tokio::time::advance(Duration::from_secs(5)).await;
    assert!(!budget.try_take(&service, 1));
    tokio::time::advance(Duration::from_secs(6)).await;
    let second = (0..1000).filter(|_| budget.try_take(&service, 1)).count();
    assert_eq!(first, second);
}

#[tokio::test(start_paused = true)]
async fn each_service_has_its_own_budget() {
    let one: Arc<str> = Arc::from("one");
    let other: Arc<str> = Arc::from("other");
    let budget = budget();
    while budget.try_take(&one, 1) {}
    assert!(budget.try_take(&other, 1));
}

/// Guards against nodes that take the share of others which they no longer see, but which go on retrying.
#[tokio::test(start_paused = true)]
async fn nodes_that_lose_sight_of_the_others_stay_within_the_budget() {
    let service: Arc<str> = Arc::from("s");
    let mut taken = 0;
    // Three of seven nodes see only themselves, and the other four see each other.
    for nodes in [1, 1, 1, 4, 4, 4, 4] {
        let budget = budget();
        for _ in 0..50 {
            budget.on_request(&service);
        }
        assert!(budget.try_take(&service, 7));
        let retries = (0..1000).filter(|_| budget.try_take(&service, nodes));
        taken += 1 + retries.count();
    }
    assert!(taken <= (0.2 * 350.0 + 100.0) as usize, "{taken} retries");
}

/// Guards against survivors that have no retries for longer than a window after all others have left.
#[tokio::test(start_paused = true)]
async fn the_share_of_nodes_that_have_left_is_available_after_one_window() {
    let service: Arc<str> = Arc::from("s");
    let budget = budget();
    let shared = (0..1000).filter(|_| budget.try_take(&service, 7)).count();
    tokio::time::advance(Duration::from_secs(1)).await;
    assert!(!budget.has_retry(&service, 1));
    // Some of its own retries have left the window, but those of the others may still be in it.
    tokio::time::advance(Duration::from_millis(9_200)).await;
    let later = (0..1000).filter(|_| budget.try_take(&service, 7)).count();
    assert_eq!(later, shared);
    tokio::time::advance(Duration::from_millis(10_600)).await;
    let alone = (0..1000).filter(|_| budget.try_take(&service, 1)).count();
    assert_eq!(alone, 70);
}

/// Guards against a node that has just started, sees few of the others at first and takes a share of these few.
#[tokio::test(start_paused = true)]
async fn a_node_that_starts_beside_a_running_fleet_stays_within_the_budget() {
    let service: Arc<str> = Arc::from("s");
    let mut taken = 0;
    // Before it hears from the others, the last node knows only its two seeds.
    for first_seen in [7, 7, 7, 7, 7, 7, 3] {
        let budget = budget();
        for _ in 0..50 {
            budget.on_request(&service);
        }
        for nodes in [first_seen, 7] {
            taken += (0..1000)
                .filter(|_| budget.try_take(&service, nodes))
                .count();
        }
    }
    assert!(taken <= (0.2 * 350.0 + 100.0) as usize, "{taken} retries");
}
