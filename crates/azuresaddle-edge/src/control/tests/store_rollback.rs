//! Tests of the targets in the registry after the store has been rolled back to an older copy.

use std::time::Duration;

use azuresaddle_platform::{StoreEra, StoreItem, StorePosition};
use tokio::time::Instant;

use super::registry::{at, ids, item, item_of, removed};
use crate::control::registry::Registry;

/// Returns the same item at a revision of the era after the rollback.
fn after_rollback(item: StoreItem, revision: u64) -> StoreItem {
    StoreItem {
        position: StorePosition::new(StoreEra(2), revision),
        ..item
    }
}

/// Creates a registry with three targets from the first era of the store.
fn registry_with_three_targets(now: Instant) -> Registry {
    let mut registry = Registry::default();
    let all = ["a", "b", "c"];
    let items = all.iter().zip(101..).map(|(id, n)| item(id, "ready", n));
    registry.apply_listing(now, items.collect(), at(110));
    registry.on_caught_up();
    registry
}

#[tokio::test(start_paused = true)]
async fn an_entry_rewritten_with_a_lower_revision_is_accepted() {
    let now = Instant::now();
    let mut registry = registry_with_three_targets(now);
    let listing = ["a", "b", "c"].map(|id| after_rollback(item(id, "ready", 1), 1));
    registry.on_era(now, StoreEra(2));
    assert!(!registry.apply_listing(now, listing.into(), StorePosition::new(StoreEra(2), 9)));
    assert_eq!(ids(&registry), ["a", "b", "c"]);
    assert!(registry.apply(now, after_rollback(item("b", "draining", 200), 10)));
    assert_eq!(ids(&registry), ["a", "c"]);
}

#[tokio::test(start_paused = true)]
async fn a_rollback_restores_no_target_that_drained_or_left() {
    let now = Instant::now();
    let mut registry = registry_with_three_targets(now);
    registry.apply(now, item("a", "draining", 111));
    registry.apply(now, removed("b", 112));
    registry.on_era(now, StoreEra(2));
    let listing =
        [("a", 1), ("b", 102), ("c", 3)].map(|(id, n)| after_rollback(item(id, "ready", n), n));
    registry.apply_listing(now, listing.into(), StorePosition::new(StoreEra(2), 103));
    assert_eq!(ids(&registry), ["c"]);
    // The target registers again, with an entry that the older copy cannot contain.
    assert!(registry.apply(now, after_rollback(item("b", "ready", 113), 104)));
    assert_eq!(ids(&registry), ["b", "c"]);
}

#[tokio::test(start_paused = true)]
async fn entries_lost_in_a_rollback_are_kept_for_the_grace_period() {
    let start = Instant::now();
    let mut registry = registry_with_three_targets(start);
    registry.on_era(start, StoreEra(2));
    let first = StorePosition::new(StoreEra(2), 50);
    registry.apply_listing(
        start,
        vec![after_rollback(item("a", "ready", 101), 40)],
        first,
    );
    registry.on_caught_up();
    assert_eq!(ids(&registry), ["a", "b", "c"]);
    assert!(!registry.apply(start, after_rollback(item("b", "ready", 120), 51)));
    let later = start + Duration::from_millis(2300);
    assert!(registry.expire_removals(later));
    assert_eq!(ids(&registry), ["a", "b"]);
    // The removal is at a later position than what other nodes know.
    let records = registry.published().records;
    let gone = records.iter().find(|r| r.is_removed()).unwrap();
    assert!(gone.position() >= first);
}

#[tokio::test(start_paused = true)]
async fn a_second_rollback_restarts_the_grace_period() {
    let start = Instant::now();
    let mut registry = registry_with_three_targets(start);
    for era in [2, 3] {
        let now = start + Duration::from_secs(era - 2);
        registry.on_era(now, StoreEra(era));
        let position = StorePosition::new(StoreEra(era), 10);
        registry.apply_listing(now, Vec::new(), position);
    }
    assert!(!registry.expire_removals(start + Duration::from_millis(3100)));
    assert!(registry.expire_removals(start + Duration::from_millis(3300)));
    assert!(ids(&registry).is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_target_that_restarts_after_a_rollback_is_accepted() {
    let now = Instant::now();
    let mut registry = registry_with_three_targets(now);
    registry.on_era(now, StoreEra(2));
    let listing = ["a", "b", "c"].map(|id| after_rollback(item(id, "ready", 50), 50));
    registry.apply_listing(now, listing.into(), StorePosition::new(StoreEra(2), 60));
    let before = registry.published();
    assert!(registry.apply(now, after_rollback(item_of("a", "ready", 61, 2_000, 1), 61)));
    let after = registry.published();
    assert_eq!(after.targets.restarted_since(&before.targets), ["a".into()]);
}

/// Guards against a node that starts right after an outage and reads the store without an entry
/// that lapsed, while other nodes still keep the entry.
#[tokio::test(start_paused = true)]
async fn a_starting_node_does_not_take_a_lapse_for_a_removal() {
    let now = Instant::now();
    let mut running = registry_with_three_targets(now);
    running.on_store_reconnected(now);
    running.apply(now, removed("a", 120));
    let mut starting = Registry::default();
    let listing = vec![item("b", "ready", 102), item("c", "ready", 103)];
    starting.apply_listing(now, listing, at(125));
    for record in running.published().records.iter() {
        starting.apply_update(now, record.to_update());
    }
    assert_eq!(ids(&starting), ["a", "b", "c"]);
    // The target registers again in time, so that both nodes keep it.
    let mut other = running;
    for registry in [&mut starting, &mut other] {
        registry.apply(now, item("a", "ready", 130));
        registry.expire_removals(now + Duration::from_millis(2300));
        assert_eq!(ids(registry), ["a", "b", "c"]);
    }
}
