//! Changes of the configuration beside silent connections to the store, restarts, frozen nodes and many other entries.

use std::time::Duration;

use azuresaddle_standin::platform::{CallerRequest, draining_entry};
use azuresaddle_standin::soak::{Fleet, NodeProcess, ProxyMode};
use futures::future::join_all;
use nix::sys::signal::Signal;
use tokio::time::Instant;

use super::support::{self, ask, fleet, plain};

/// Time after the acknowledgement of a change within which undisturbed nodes must follow it.
const APPLY_TIME: Duration = Duration::from_millis(2000);

/// Additional time for a node that can't reach the store.
const OTHERS_TIME: Duration = Duration::from_millis(5000);

/// Time after the end of a disturbance from which on nodes must follow changes in time again.
const CONTACT_TIME: Duration = Duration::from_millis(3000);

/// Longest time for which a test waits for a change.
const MAX_WAIT: Duration = Duration::from_secs(12);

/// Interval between two requests for what a change adds.
const POLL_INTERVAL: Duration = Duration::from_millis(30);

/// Time for which nodes run before a change.
const SETTLE_TIME: Duration = Duration::from_millis(3200);

/// Longest time in which a killed process ends.
const KILL_TIME: Duration = Duration::from_secs(2);

/// Number of entries of other writers, more than the store keeps in its history.
const ENTRIES: usize = 3000;

/// Entries that are written at once, and the pause after them.
const BATCH: usize = 100;
const BATCH_PAUSE: Duration = Duration::from_millis(20);

/// A change, which adds a route.
struct Change {
    request: CallerRequest,
    acknowledged: Instant,
}

async fn settled_fleet(test: &str, nodes: u8) -> Fleet {
    let fleet = fleet(test, nodes).await;
    tokio::time::sleep(SETTLE_TIME).await;
    fleet
}

fn add_route(fleet: &mut Fleet, prefix: &str) -> Change {
    Change {
        request: support::add_route(&mut fleet.platform, prefix),
        acknowledged: Instant::now(),
    }
}

/// Time from the acknowledgement of a change until a node serves what it adds.
async fn delay(node: &NodeProcess, change: &Change) -> Duration {
    while change.acknowledged.elapsed() < MAX_WAIT {
        let sent = change.acknowledged.elapsed();
        let mut request = change.request.clone();
        request.attempt = plain("/").attempt;
        let answer = ask(node, &request).await;
        if answer.is_ok_and(|a| a.status == 200) {
            return sent;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    MAX_WAIT
}

/// Expects that nodes serve what a change adds within a time after its acknowledgement.
async fn assert_followed<'a>(
    nodes: impl IntoIterator<Item = &'a NodeProcess>,
    change: &Change,
    bound: Duration,
) {
    let delays = join_all(nodes.into_iter().map(|n| delay(n, change))).await;
    let path = &change.request.path;
    assert!(
        delays.iter().all(|d| *d <= bound),
        "{path} in force after {delays:?}, at most {bound:?}"
    );
}

/// Guards against a node whose watch hangs on a connection that has gone silent, and that doesn't learn a change from the
/// others in time.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_with_silent_store_connections_follows_a_change_in_time() {
    let mut fleet = settled_fleet("late-silent-one", 3).await;
    fleet.store_proxies[1].silence_open_connections();
    let change = add_route(&mut fleet, "/added/");
    assert_followed(&fleet.nodes, &change, APPLY_TIME).await;
}

/// Guards against watches that hang on silent connections for longer than nodes may be out of touch. The silence itself
/// disturbs all nodes, so that the bound counts from it.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_with_silent_store_connections_follow_a_change_once_in_touch() {
    let mut fleet = settled_fleet("late-silent-all", 3).await;
    for proxy in &fleet.store_proxies {
        proxy.silence_open_connections();
    }
    let change = add_route(&mut fleet, "/added/");
    assert_followed(&fleet.nodes, &change, CONTACT_TIME).await;
}

/// Guards against a watch that is started again just before a silent store path comes back, hangs, and is given up too late.
/// Silences of different lengths end at different times of the watch.
#[tokio::test(flavor = "multi_thread")]
async fn a_lone_node_follows_a_change_after_a_silence_of_its_store_path() {
    let lengths_ms = [1000, 1500, 2000, 2300, 2600, 3000];
    let silences = lengths_ms.map(|ms| async move {
        let mut fleet = settled_fleet(&format!("late-silence-{ms}"), 1).await;
        fleet.store_proxies[0].set_mode(ProxyMode::Silent);
        tokio::time::sleep(Duration::from_millis(ms)).await;
        fleet.store_proxies[0].set_mode(ProxyMode::Pass);
        // The store itself was sound all the while, and the path was disturbed until now.
        let change = add_route(&mut fleet, "/added/");
        delay(&fleet.nodes[0], &change).await
    });
    let delays = join_all(silences).await;
    assert!(delays.iter().all(|d| *d <= CONTACT_TIME), "{delays:?}");
}

/// Guards against a node that starts while the configuration changes and the store is slow for it, and that keeps the older
/// version which it read first or got from the others.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_during_a_change_follows_it() {
    let mut fleet = settled_fleet("late-start", 3).await;
    fleet.store_proxies[1].set_mode(ProxyMode::Delay(Duration::from_millis(300)));
    for (n, pause_ms) in [0, 150, 400, 800].into_iter().enumerate() {
        let node = &mut fleet.nodes[1];
        node.signal(Signal::SIGKILL);
        assert!(node.wait_until_ended(KILL_TIME).await);
        node.start().unwrap();
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        let change = add_route(&mut fleet, &format!("/added-{n}/"));
        // The start disturbs only the node that starts.
        let others = [&fleet.nodes[0], &fleet.nodes[2]];
        assert_followed(others, &change, APPLY_TIME).await;
        assert_followed([&fleet.nodes[1]], &change, CONTACT_TIME).await;
    }
}

/// Guards against a fetch from a node that is frozen just then, after which the asking node fetches from no other.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_without_the_store_follows_a_change_beside_a_frozen_node() {
    let mut fleet = settled_fleet("late-frozen", 3).await;
    fleet.store_proxies[1].set_mode(ProxyMode::Silent);
    for (n, pause_ms) in [0, 40, 80, 120].into_iter().enumerate() {
        let change = add_route(&mut fleet, &format!("/added-{n}/"));
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        fleet.nodes[0].signal(Signal::SIGSTOP);
        assert_followed([&fleet.nodes[2]], &change, APPLY_TIME).await;
        assert_followed([&fleet.nodes[1]], &change, APPLY_TIME + OTHERS_TIME).await;
        fleet.nodes[0].signal(Signal::SIGCONT);
        tokio::time::sleep(Duration::from_millis(600)).await;
    }
}

/// Writes thousands of entries, changes the configuration in between, and expects that all nodes follow in time.
async fn assert_followed_beside(test: &str, key: impl Fn(usize) -> String) {
    let mut fleet = settled_fleet(test, 3).await;
    let entry = draining_entry();
    let store = fleet.platform.store.clone();
    let written: Vec<String> = (0..ENTRIES).map(&key).collect();
    let writing = tokio::spawn(async move {
        for keys in written.chunks(BATCH) {
            for key in keys {
                store.put(key, entry.to_string());
            }
            tokio::time::sleep(BATCH_PAUSE).await;
        }
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let change = add_route(&mut fleet, "/added/");
    assert_followed(&fleet.nodes, &change, APPLY_TIME).await;
    writing.await.unwrap();
    fleet.platform.store.compact();
    let change = add_route(&mut fleet, "/later/");
    assert_followed(&fleet.nodes, &change, APPLY_TIME).await;
}

/// Guards against changes that wait behind those of thousands of targets.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_beside_thousands_of_targets_is_followed_in_time() {
    assert_followed_beside("late-targets", |n| format!("servers/many-{n}")).await;
}

/// Guards against changes that wait behind those of thousands of crashes, whose keys come before that of the configuration.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_beside_thousands_of_crashes_is_followed_in_time() {
    let key = |n| format!("azuresaddle/crashes/{n:032x}/{n:016x}-0");
    assert_followed_beside("late-crashes", key).await;
}
