//! Tests of drained failure domains and of cold targets in the registry.

use std::time::Duration;

use azuresaddle_platform::{StoreEra, StoreItem, StorePosition};
use proptest::prelude::*;
use tokio::time::Instant;

use super::registry::{at, ids, item, item_in};
use crate::control::domain_drain::DomainDrain;
use crate::control::registry::Registry;

fn in_era(era: u64, revision: u64) -> StorePosition {
    StorePosition::new(StoreEra(era), revision)
}

fn drain_item(domain: &str, is_active: bool, position: StorePosition) -> StoreItem {
    StoreItem {
        key: format!("op/evacuate/{domain}"),
        value: is_active.then(|| b"{}".to_vec()),
        position,
    }
}

fn drain(domain: &str, is_active: bool, position: StorePosition) -> DomainDrain {
    DomainDrain {
        domain: domain.into(),
        is_active,
        position,
    }
}

/// A registry with one target in each of the domains `d1` and `d2`.
fn registry(now: Instant) -> Registry {
    let mut registry = Registry::default();
    registry.apply(now, item("a", "ready", 1));
    registry.apply(now, item_in("b", "d2", 0, 2));
    registry.on_read_up_to(at(2));
    registry
}

#[tokio::test(start_paused = true)]
async fn targets_of_a_drained_domain_are_not_published_until_the_drain_ends() {
    let now = Instant::now();
    let mut registry = registry(now);
    assert!(registry.apply_drain_item(now, &drain_item("d2", true, at(3))));
    assert_eq!(ids(&registry), ["a"]);
    assert!(registry.apply_drain_item(now, &drain_item("d1", true, at(4))));
    assert!(ids(&registry).is_empty());
    assert!(registry.apply_drain_item(now, &drain_item("d2", false, at(5))));
    assert_eq!(ids(&registry), ["b"]);
    // A target of a drained domain that registers is not used either.
    registry.apply(now, item("c", "ready", 6));
    assert_eq!(ids(&registry), ["b"]);
}

#[tokio::test(start_paused = true)]
async fn a_drain_whose_end_was_compacted_ends_with_the_next_listing() {
    let now = Instant::now();
    let mut registry = registry(now);
    registry.apply_drain_item(now, &drain_item("d2", true, at(3)));
    assert!(!registry.end_unlisted_drains(now, &["d2".into()], at(9)));
    assert!(registry.end_unlisted_drains(now, &[], at(10)));
    assert_eq!(ids(&registry), ["a", "b"]);
    // Another node still has the outdated record.
    assert!(!registry.apply_drain(now, drain("d2", true, at(3))));
    assert_eq!(ids(&registry), ["a", "b"]);
}

#[tokio::test(start_paused = true)]
async fn a_drain_that_a_rollback_lost_stays_until_the_operator_had_time_to_write_it_again() {
    let start = Instant::now();
    let mut registry = registry(start);
    registry.apply_drain_item(start, &drain_item("d2", true, at(30)));
    registry.on_era(start, StoreEra(2));
    assert!(!registry.end_unlisted_drains(start, &[], in_era(2, 10)));
    assert_eq!(ids(&registry), ["a"]);
    let second = start + Duration::from_secs(1);
    assert!(!registry.apply_drain_item(second, &drain_item("d2", true, in_era(2, 11))));
    assert!(!registry.expire_drains(start + Duration::from_secs(3)));
    assert_eq!(ids(&registry), ["a"]);
}

#[tokio::test(start_paused = true)]
async fn a_drain_that_a_rollback_lost_for_good_ends_on_nodes_that_hear_of_it_later_too() {
    let start = Instant::now();
    let mut registry = registry(start);
    registry.on_era(start, StoreEra(2));
    registry.on_read_up_to(in_era(2, 10));
    assert!(registry.apply_drain(start, drain("d2", true, at(30))));
    assert_eq!(ids(&registry), ["a"]);
    assert!(registry.expire_drains(start + Duration::from_secs(3)));
    assert_eq!(ids(&registry), ["a", "b"]);
    assert!(!registry.apply_drain(start + Duration::from_secs(4), drain("d2", true, at(30))));
}

#[tokio::test(start_paused = true)]
async fn the_hash_reveals_a_missed_drain() {
    let now = Instant::now();
    let mut registry = registry(now);
    let before = registry.published().hash;
    registry.apply_drain_item(now, &drain_item("d2", true, at(3)));
    assert_ne!(registry.published().hash, before);
    registry.apply_drain_item(now, &drain_item("d2", false, at(4)));
    assert_eq!(registry.published().hash, before);
}

#[tokio::test(start_paused = true)]
async fn a_cold_target_counts_as_cold_for_the_stated_time() {
    let start = Instant::now();
    let mut registry = registry(start);
    assert!(registry.apply(start, item_in("b", "d2", 900, 3)));
    let cold = |registry: &Registry, now| registry.cold_targets(now).count();
    assert_eq!(cold(&registry, start), 1);
    // A later entry prolongs the time without a change to publish.
    let later = start + Duration::from_millis(500);
    assert!(!registry.apply(later, item_in("b", "d2", 800, 4)));
    let end = later + Duration::from_millis(800);
    assert!(!registry.expire_cold(end - Duration::from_millis(1)));
    assert!(registry.expire_cold(end));
    assert_eq!(cold(&registry, end), 0);
}

#[tokio::test(start_paused = true)]
async fn targets_count_as_cold_after_the_drain_of_their_domain() {
    let now = Instant::now();
    let mut registry = registry(now);
    registry.apply_drain_item(now, &drain_item("d2", true, at(3)));
    registry.apply_drain_item(now, &drain_item("d2", false, at(4)));
    let cold: Vec<String> = registry
        .cold_targets(now)
        .map(ToString::to_string)
        .collect();
    assert_eq!(cold, ["b"]);
    assert!(registry.expire_cold(now + Duration::from_secs(3)));
}

proptest! {
    #[test]
    fn drains_merge_to_the_same_state_in_any_order(
        changes in prop::collection::vec((any::<bool>(), 1..4_u64, 1..30_u64), 1..8),
        seed in any::<u64>(),
    ) {
        let now = Instant::now();
        let mut updates: Vec<DomainDrain> = Vec::new();
        for (is_active, era, revision) in changes {
            let position = in_era(era, revision);
            if updates.iter().all(|u| u.position != position) {
                updates.push(drain("d2", is_active, position));
            }
        }
        let mut shuffled = updates.clone();
        shuffled.sort_by_key(|u| u.position.revision.wrapping_mul(seed | 1));
        let mut one = Registry::default();
        let mut other = Registry::default();
        for update in updates {
            one.apply_drain(now, update);
        }
        for update in shuffled {
            other.apply_drain(now, update);
        }
        prop_assert_eq!(one.drained_domains(), other.drained_domains());
        prop_assert_eq!(one.published().hash, other.published().hash);
    }
}
