//! Tests of the registry of targets.

use std::time::Duration;

use azuresaddle_core::deployment::TargetStart;
use azuresaddle_core::prelude::*;
use azuresaddle_platform::{StoreEra, StoreItem, StorePosition};
use proptest::prelude::*;
use proptest::sample::select;
use tokio::time::Instant;

use crate::control::registry::Registry;

/// A position in the first era of the store.
pub(super) fn at(revision: u64) -> StorePosition {
    StorePosition::new(StoreEra(1), revision)
}

/// Entry of a target's first start, with the revision as its sequence number.
pub(super) fn item(id: &str, state: &str, revision: u64) -> StoreItem {
    item_of(id, state, revision, 1_000, revision)
}

/// Entry of a given start of a target.
pub(super) fn item_of(id: &str, state: &str, revision: u64, born: u64, sequence: u64) -> StoreItem {
    entry(id, "d1", state, 0, revision, (born, sequence))
}

/// Entry of a target in a failure domain that stays cold for a time.
pub(super) fn item_in(id: &str, domain: &str, cold_ms: u64, revision: u64) -> StoreItem {
    entry(id, domain, "ready", cold_ms, revision, (1_000, revision))
}

fn entry(
    id: &str,
    domain: &str,
    state: &str,
    cold_ms: u64,
    revision: u64,
    (born, sequence): (u64, u64),
) -> StoreItem {
    let value = format!(
        r#"{{"service":"s","address":"10.0.0.9:80","zone":"{domain}","version":"v1","slots":6,
        "state":"{state}","cold_remaining_ms":{cold_ms},"born":{born},"sequence":{sequence}}}"#
    );
    StoreItem {
        key: format!("servers/{id}"),
        value: Some(value.into_bytes()),
        position: at(revision),
    }
}

pub(super) fn removed(id: &str, revision: u64) -> StoreItem {
    StoreItem {
        key: format!("servers/{id}"),
        value: None,
        position: at(revision),
    }
}

pub(super) fn ids(registry: &Registry) -> Vec<String> {
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
async fn older_changes_never_restore_a_target() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.apply(now, item("a", "ready", 1));
    registry.apply(now, removed("a", 5));
    assert!(!registry.apply(now, item("a", "ready", 1)));
    assert!(!registry.apply(now, item("a", "ready", 4)));
    assert!(ids(&registry).is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_removal_after_an_outage_takes_effect_after_the_grace_period() {
    let start = Instant::now();
    let mut registry = Registry::default();
    registry.apply(start, item("a", "ready", 1));
    registry.apply(start, item("b", "ready", 2));
    registry.on_store_reconnected(start);
    assert!(!registry.apply(start, removed("a", 8)));
    assert!(!registry.apply(start, removed("b", 9)));
    assert_eq!(ids(&registry), ["a", "b"]);
    // One of the targets registers again.
    registry.apply(start, item("a", "ready", 12));
    let later = start + Duration::from_millis(2300);
    assert!(registry.expire_removals(later));
    assert_eq!(ids(&registry), ["a"]);
    // Other nodes receive the removal at its own revision.
    let records = registry.published().records;
    let record = records.iter().find(|r| &**r.key() == "servers/b").unwrap();
    assert!(record.is_removed());
    assert_eq!(record.position(), at(9));
}

#[tokio::test(start_paused = true)]
async fn a_removal_after_catching_up_takes_effect_at_once() {
    let start = Instant::now();
    let mut registry = Registry::default();
    registry.apply(start, item("a", "ready", 1));
    registry.apply(start, item("b", "ready", 2));
    registry.on_store_reconnected(start);
    assert!(
        !registry.apply(start, removed("a", 8)),
        "the entry may have lapsed"
    );
    registry.on_caught_up();
    let later = start + Duration::from_millis(120);
    assert!(registry.apply(later, removed("b", 9)));
    assert_eq!(ids(&registry), ["a"]);
    // The removal that may be a lapse still has its grace period.
    assert!(!registry.expire_removals(start + Duration::from_millis(2100)));
    assert!(registry.expire_removals(start + Duration::from_millis(2300)));
}

#[tokio::test(start_paused = true)]
async fn a_listing_removes_missing_entries() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.apply(now, item("a", "ready", 1));
    registry.apply(now, item("new", "ready", 20));
    assert!(registry.apply_listing(now, vec![item("b", "ready", 2)], at(10)));
    // Changes after the listing are kept.
    assert_eq!(ids(&registry), ["b", "new"]);
}

#[tokio::test(start_paused = true)]
async fn an_unreadable_entry_hides_its_target_until_it_is_rewritten() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.apply(now, item("a", "ready", 1));
    registry.apply(now, item("b", "ready", 2));
    let mut broken = item("a", "ready", 3);
    broken.value = Some(b"{".to_vec());
    assert!(registry.apply(now, broken));
    assert_eq!(ids(&registry), ["b"]);
    assert!(registry.apply(now, item("a", "ready", 4)));
    assert_eq!(ids(&registry), ["a", "b"]);
}

#[tokio::test(start_paused = true)]
async fn entries_of_an_earlier_start_are_ignored() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.apply(now, item_of("a", "ready", 1, 1_000, 40));
    // The target restarts, and its sequence restarts too.
    assert!(registry.apply(now, item_of("a", "ready", 5, 2_000, 1)));
    // A delayed write of the earlier start, so it has a later revision.
    assert!(!registry.apply(now, item_of("a", "draining", 6, 1_000, 41)));
    assert_eq!(ids(&registry), ["a"]);
    // Entries of the earlier start are also ignored after a removal.
    assert!(registry.apply(now, removed("a", 7)));
    assert!(!registry.apply(now, item_of("a", "ready", 8, 1_000, 42)));
    assert!(ids(&registry).is_empty());
}

#[tokio::test(start_paused = true)]
async fn an_entry_with_a_lower_sequence_is_ignored() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.apply(now, item_of("a", "ready", 1, 1_000, 7));
    assert!(registry.apply(now, item_of("a", "draining", 2, 1_000, 9)));
    assert!(!registry.apply(now, item_of("a", "ready", 3, 1_000, 8)));
    assert!(ids(&registry).is_empty());
    // The same sequence number again is not an outdated entry.
    assert!(registry.apply(now, item_of("a", "ready", 4, 1_000, 9)));
}

#[tokio::test(start_paused = true)]
async fn a_restart_changes_the_published_targets_and_their_hash() {
    let now = Instant::now();
    let mut one = Registry::default();
    one.apply(now, item_of("a", "ready", 1, 1_000, 1));
    let before = one.published();
    assert!(one.apply(now, item_of("a", "ready", 2, 2_000, 1)));
    let after = one.published();
    assert_ne!(before.hash, after.hash);
    assert_eq!(after.targets.restarted_since(&before.targets), ["a".into()]);
    // A rewritten entry with the same state changes nothing for other nodes.
    assert!(!one.apply(now, item_of("a", "ready", 3, 2_000, 2)));
    assert_eq!(one.published().hash, after.hash);
}

/// A foreign entry: any bytes, or a valid entry with one field missing or of the wrong type.
fn foreign_value() -> impl Strategy<Value = Vec<u8>> {
    let fields = [
        "service", "address", "zone", "version", "slots", "state", "sequence",
    ];
    let odd = prop_oneof![
        Just(serde_json::Value::Null),
        Just(serde_json::json!({"a": [1]})),
        Just(serde_json::json!(-1.5)),
        "[a-z]{1,12}".prop_map(serde_json::Value::from),
    ];
    let spoiled = (select(fields.to_vec()), proptest::option::of(odd)).prop_map(|(field, odd)| {
        let good = item("x", "ready", 1).value.expect("an entry has a value");
        let mut entry: serde_json::Value = serde_json::from_slice(&good).expect("it is JSON");
        let map = entry.as_object_mut().expect("it is an object");
        match odd {
            // Any string is a valid service, version or failure domain, so the state is made
            // invalid instead.
            Some(odd) if odd.is_string() && field != "slots" && field != "sequence" => {
                map.insert("state".to_owned(), odd);
            }
            Some(odd) => {
                map.insert(field.to_owned(), odd);
            }
            None => {
                map.remove(field);
            }
        }
        serde_json::to_vec(&entry).expect("JSON serializes")
    });
    prop_oneof![proptest::collection::vec(any::<u8>(), 0..80), spoiled]
}

/// Numbers at the bounds of their types, and any other.
fn number() -> impl Strategy<Value = String> {
    let bounds = [
        "0",
        "-0.0",
        "-1",
        "1e-300",
        "-1e22",
        "1e17",
        "1e22",
        "1e300",
        "-1e300",
        "1e400",
        "9223372036854775807",
        "-9223372036854775808",
        "18446744073709551615",
    ];
    prop_oneof![
        select(bounds.to_vec()).prop_map(str::to_owned),
        any::<u64>().prop_map(|n| n.to_string()),
        any::<f64>().prop_map(|n| n.to_string()),
    ]
}

/// An entry with any number in each numeric field. Most of its integers are valid, since the rest of an entry with an
/// invalid one is not used.
fn entry_of_numbers() -> impl Strategy<Value = Vec<u8>> {
    let integer = || prop_oneof![3 => Just("1".to_owned()), 1 => number()];
    let numbers = (number(), integer(), integer(), integer());
    numbers.prop_map(|(cold_ms, born, sequence, slots)| {
        let entry = format!(
            r#"{{"service":"s","address":"10.0.0.9:80","zone":"d1","version":"v1","slots":{slots},
            "state":"ready","cold_remaining_ms":{cold_ms},"born":{born},"sequence":{sequence}}}"#
        );
        entry.into_bytes()
    })
}

/// Guards against a control task that ends at a cold time of 1e22 milliseconds.
#[tokio::test(start_paused = true)]
async fn an_entry_that_states_an_endless_cold_time_is_applied() {
    let now = Instant::now();
    let mut registry = Registry::default();
    for (revision, cold_ms) in (1..).zip(["1e17", "1e22", "1e300", "1.7976931348623157e308"]) {
        let mut item = item("a", "ready", revision);
        let value = String::from_utf8(item.value.take().expect("an entry has a value"));
        let value = value.expect("it is text");
        let stated = format!("\"cold_remaining_ms\":{cold_ms}");
        item.value = Some(
            value
                .replace("\"cold_remaining_ms\":0", &stated)
                .into_bytes(),
        );
        registry.apply(now, item);
    }
    assert_eq!(ids(&registry), ["a"]);
    assert_eq!(registry.cold_targets(now).count(), 1);
}

proptest! {
    /// Guards against a task that ends at a number in an entry.
    #[test]
    fn no_number_in_an_entry_panics(entries in proptest::collection::vec(entry_of_numbers(), 1..8)) {
        let start = Instant::now();
        let mut registry = Registry::default();
        for (revision, value) in (1..).zip(entries) {
            let now = start + Duration::from_secs(revision);
            let key = "servers/a".to_owned();
            registry.apply(now, StoreItem { key, value: Some(value), position: at(revision) });
            let _ = registry.cold_targets(now).count();
            registry.expire_cold(now);
            registry.expire_removals(now);
            registry.published();
        }
    }

    /// Whatever other writers store under any key, the targets' own entries are kept and no other
    /// targets are added.
    #[test]
    fn foreign_entries_neither_add_nor_hide_targets(
        writes in proptest::collection::vec(("[ -~]{0,20}", foreign_value()), 1..20),
    ) {
        let now = Instant::now();
        let mut registry = Registry::default();
        registry.apply(now, item("own-1", "ready", 1));
        let mut listing = vec![item("own-2", "ready", 2)];
        for (revision, (id, value)) in (3..).zip(writes) {
            let key = format!("servers/{id}");
            listing.push(StoreItem { key, value: Some(value), position: at(revision) });
        }
        listing.push(item("own-1", "ready", 1));
        registry.apply_listing(now, listing, at(100));
        prop_assert_eq!(ids(&registry), ["own-1", "own-2"]);
        prop_assert_eq!(registry.targets().len(), 2);
    }
}

#[tokio::test(start_paused = true)]
async fn the_hash_differs_for_different_targets() {
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
async fn published_targets_are_rebuilt_only_after_a_change() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.apply(now, item("a", "ready", 1));
    let first = registry.published();
    registry.expire_removals(now);
    registry.apply(now, item("a", "ready", 1));
    assert!(std::sync::Arc::ptr_eq(
        &first.targets,
        &registry.published().targets
    ));
    registry.apply(now, item("a", "draining", 2));
    let second = registry.published();
    assert_eq!(second.targets.len(), 0);
    assert_eq!(second.records[0].position(), at(2));
    assert_ne!(first.hash, second.hash);
}

/// A target's answers announce that it is draining while its entry in the store still says ready.
#[tokio::test(start_paused = true)]
async fn a_draining_signal_overrides_a_ready_entry() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.apply(now, item("a", "ready", 1));
    registry.apply(now, item("b", "ready", 2));
    let before = registry.published();
    registry.on_draining(&"a".into(), TargetStart(1_000));
    assert_eq!(ids(&registry), ["b"]);
    // The hash excludes draining signals, so that nodes with different signals do not fetch all
    // entries from each other.
    assert_eq!(registry.published().hash, before.hash);
    registry.apply(now, item("a", "ready", 3));
    assert_eq!(ids(&registry), ["b"], "entry rewritten");
    registry.apply(now, removed("a", 4));
    registry.apply(now, item("a", "ready", 5));
    assert_eq!(ids(&registry), ["b"], "entry restored after a lapse");
    registry.apply(now, item_of("a", "ready", 6, 2_000, 1));
    assert_eq!(ids(&registry), ["a", "b"], "target restarted");
}
