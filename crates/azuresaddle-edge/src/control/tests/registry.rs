//! Which targets are believed in.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_platform::Item;
use tokio::time::Instant;

use crate::control::registry::Registry;

fn item(id: &str, state: &str, revision: u64) -> Item {
    let value = format!(
        r#"{{"service":"s","address":"10.0.0.9:80","zone":"d1","slots":6,"state":"{state}"}}"#
    );
    Item {
        key: format!("servers/{id}"),
        value: Some(value.into_bytes()),
        revision,
    }
}

fn removed(id: &str, revision: u64) -> Item {
    Item {
        key: format!("servers/{id}"),
        value: None,
        revision,
    }
}

fn ids(registry: &Registry) -> Vec<String> {
    let set = registry.targets();
    set.of_service("s")
        .iter()
        .map(|t| t.id.to_string())
        .collect()
}

#[tokio::test(start_paused = true)]
async fn a_draining_or_removed_target_gets_no_new_work() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.apply(now, item("a", "ready", 1));
    registry.apply(now, item("b", "ready", 2));
    registry.apply(now, item("c", "ready", 3));
    assert!(registry.apply(now, item("a", "draining", 4)));
    assert!(registry.apply(now, removed("b", 5)));
    assert_eq!(ids(&registry), ["c"]);
}

#[tokio::test(start_paused = true)]
async fn older_news_never_bring_a_target_back() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.apply(now, item("a", "ready", 1));
    registry.apply(now, removed("a", 5));
    assert!(!registry.apply(now, item("a", "ready", 1)));
    assert!(!registry.apply(now, item("a", "ready", 4)));
    assert!(ids(&registry).is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_lapse_of_an_outage_is_believed_only_after_the_grace() {
    let start = Instant::now();
    let mut registry = Registry::default();
    registry.apply(start, item("a", "ready", 1));
    registry.apply(start, item("b", "ready", 2));
    registry.on_store_back(start);
    assert!(!registry.apply(start, removed("a", 8)));
    assert!(!registry.apply(start, removed("b", 9)));
    assert_eq!(ids(&registry), ["a", "b"]);
    // One of them registers again.
    registry.apply(start, item("a", "ready", 12));
    let later = start + Duration::from_millis(2300);
    assert!(registry.check(later));
    assert_eq!(ids(&registry), ["a"]);
    // The other nodes learn of the removal with its own revision.
    let items = registry.published().items;
    let told = items.iter().find(|i| i.key == "servers/b").unwrap();
    assert_eq!((&told.value, told.revision), (&None, 9));
}

#[tokio::test(start_paused = true)]
async fn a_listing_removes_what_it_lacks() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.apply(now, item("a", "ready", 1));
    registry.apply(now, item("new", "ready", 20));
    assert!(registry.apply_listing(now, vec![item("b", "ready", 2)], 10));
    // What changed after the listing stays.
    assert_eq!(ids(&registry), ["b", "new"]);
}

#[tokio::test(start_paused = true)]
async fn an_unreadable_entry_leaves_the_last_good_one() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.apply(now, item("a", "ready", 1));
    let mut broken = item("a", "ready", 2);
    broken.value = Some(b"{".to_vec());
    assert!(!registry.apply(now, broken));
    assert_eq!(ids(&registry), ["a"]);
}

#[tokio::test(start_paused = true)]
async fn the_hash_tells_different_targets_apart() {
    let now = Instant::now();
    let mut one = Registry::default();
    let mut other = Registry::default();
    for id in ["a", "b", "c"] {
        one.apply(now, item(id, "ready", 1));
    }
    for id in ["c", "a", "b"] {
        other.apply(now, item(id, "ready", 1));
    }
    assert_eq!(one.published().hash, other.published().hash);
    other.apply(now, item("b", "draining", 2));
    assert_ne!(one.published().hash, other.published().hash);
    let id: HostName = "a".into();
    assert!(one.targets().get(&id).is_some());
}

#[tokio::test(start_paused = true)]
async fn what_is_published_is_built_anew_only_after_a_change() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.apply(now, item("a", "ready", 1));
    let first = registry.published();
    registry.check(now);
    registry.apply(now, item("a", "ready", 1));
    assert!(std::sync::Arc::ptr_eq(
        &first.targets,
        &registry.published().targets
    ));
    registry.apply(now, item("a", "draining", 2));
    let second = registry.published();
    assert_eq!((second.targets.len(), second.items[0].revision), (0, 2));
    assert_ne!(first.hash, second.hash);
}
