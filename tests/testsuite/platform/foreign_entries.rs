//! Entries of other writers among those of the targets, which must not keep a node from following the store.

use std::time::Duration;

use azuresaddle_standin::platform::draining_entry;
use azuresaddle_standin::soak::ProxyMode;
use nix::sys::signal::Signal;
use serde_json::{Value, json};

use super::support::{add_route, fleet, status};

/// Time within which a change must be in effect on all nodes.
const APPLY_TIME: Duration = Duration::from_millis(1800);

/// Longest time in which a killed process ends.
const KILL_TIME: Duration = Duration::from_secs(2);

/// The entry of a target that does not exist, with one field replaced.
fn entry_with(field: &str, value: Value) -> String {
    let mut entry = draining_entry();
    entry[field] = value;
    entry.to_string()
}

/// Expects that all nodes serve a route that is added after entries were written, and that a node that starts then
/// serves it too.
async fn assert_nodes_follow_after(test: &str, entries: &[String]) {
    let mut fleet = fleet(test, 3).await;
    for (n, entry) in entries.iter().enumerate() {
        let key = format!("servers/i-foreign-{n}");
        fleet.platform.store.put(&key, entry.as_bytes());
    }
    tokio::time::sleep(Duration::from_millis(600)).await;
    let asked = add_route(&mut fleet.platform, "/added/");
    tokio::time::sleep(APPLY_TIME).await;
    for node in &mut fleet.nodes {
        assert_eq!(status(node, &asked).await, 200, "{test}: {}", node.name);
        assert!(node.is_running(), "{test}: {}", node.name);
    }
    let node = &mut fleet.nodes[0];
    node.signal(Signal::SIGKILL);
    assert!(node.wait_until_ended(KILL_TIME).await);
    node.start().unwrap();
    node.wait_until_ready().await.unwrap();
    let asked = add_route(&mut fleet.platform, "/later/");
    tokio::time::sleep(APPLY_TIME).await;
    for node in &mut fleet.nodes {
        assert_eq!(status(node, &asked).await, 200, "{test}: {}", node.name);
        assert!(node.is_running(), "{test}: {}", node.name);
    }
}

/// Guards against a time in an entry for which the control task ends, so that its node keeps an old configuration.
#[tokio::test(flavor = "multi_thread")]
async fn a_cold_time_beyond_the_clock_keeps_no_node_from_new_configurations() {
    let entry = entry_with("cold_remaining_ms", json!(1e22));
    assert_nodes_follow_after("foreign-cold-time", &[entry]).await;
}

/// An entry with a number in place of a field's value, as written. A value of this crate's JSON type can't hold all numbers.
fn entry_with_number(field: &str, number: &str) -> String {
    entry_with(field, json!("number")).replace("\"number\"", number)
}

/// Guards against entries that can't be read and keep a node from reading the others, in a watch and in the first listing.
#[tokio::test(flavor = "multi_thread")]
async fn entries_that_cannot_be_read_keep_no_node_from_new_configurations() {
    let brackets = 200_000;
    let mut entries = vec![
        "[".repeat(brackets),
        format!("{}{}", "[".repeat(brackets), "]".repeat(brackets)),
        format!("{}1{}", "{\"a\":".repeat(100_000), "}".repeat(100_000)),
        entry_with_number("extra", &"[".repeat(brackets)),
        String::new(),
        "\u{0}\u{1}".to_owned(),
        "null".to_owned(),
        entry_with("address", json!("127.0.0.1:99999")),
        entry_with("address", json!("127.0.0.1")),
        entry_with("address", json!("[::1]:9")),
        entry_with("address", json!("0.0.0.0:0")),
        entry_with("service", json!("x".repeat(200_000))),
        entry_with("zone", json!("x".repeat(200_000))),
    ];
    for field in ["sequence", "born", "slots", "cold_remaining_ms"] {
        let numbers = [
            "18446744073709551615",
            "18446744073709551616",
            "123456789012345678901",
            "9223372036854775807",
            "4294967295",
            "4294967296",
            "1e400",
            "1e17",
            "-1e30",
            "-1",
            "0.5",
            "NaN",
            "Infinity",
            "\"NaN\"",
            "null",
        ];
        entries.extend(numbers.iter().map(|n| entry_with_number(field, n)));
    }
    assert_nodes_follow_after("foreign-entries", &entries).await;
}

/// Guards against entries of other writers that make the messages between nodes too long, so that a node which does not
/// reach the store gets no configuration from the others.
#[tokio::test(flavor = "multi_thread")]
async fn long_entries_keep_no_node_from_the_configuration_of_its_peers() {
    let mut fleet = fleet("foreign-long", 3).await;
    fleet.store_proxies[1].set_mode(ProxyMode::Reset);
    let few = vec!["x".repeat(1_000_000); 6];
    let many = vec![entry_with("version", json!("x".repeat(15_000))); 300];
    for (prefix, entries) in [("/few/", few), ("/many/", many)] {
        for (n, entry) in entries.into_iter().enumerate() {
            let key = format!("servers/i{prefix}{n}");
            fleet.platform.store.put(&key, entry);
        }
        // The time that nodes take to read megabytes of entries is not the subject.
        tokio::time::sleep(Duration::from_secs(3)).await;
        let asked = add_route(&mut fleet.platform, prefix);
        tokio::time::sleep(APPLY_TIME).await;
        for node in &fleet.nodes {
            assert_eq!(status(node, &asked).await, 200, "{prefix} {}", node.name);
        }
    }
}
