//! Configurations and keys take effect in time and never revert, even without the store.

use std::time::Duration;

use azuresaddle_standin::platform::StoreFault;
use azuresaddle_standin::soak::ProxyMode;

use super::support::{fleet, plain, status};

/// Time within which a change must be in effect on all nodes.
const APPLY_TIME: Duration = Duration::from_millis(1800);

#[tokio::test(flavor = "multi_thread")]
async fn a_revoked_key_is_refused_by_every_node() {
    let mut fleet = fleet("revoke", 3).await;
    let mut asked = plain("/note/1");
    asked.key = "key-2".to_owned();
    for node in &fleet.nodes {
        assert_eq!(status(node, &asked).await, 200);
    }
    fleet
        .platform
        .change_configuration(|c| c.accounts[0].keys.retain(|k| k != "key-2"));
    tokio::time::sleep(APPLY_TIME).await;
    for node in &fleet.nodes {
        assert_eq!(status(node, &asked).await, 401);
        assert_eq!(status(node, &plain("/note/1")).await, 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_without_the_store_learns_a_change_from_its_peers() {
    let mut fleet = fleet("gossip", 3).await;
    fleet.store_proxies[1].set_mode(ProxyMode::Reset);
    fleet
        .platform
        .change_configuration(|c| c.accounts[0].keys.retain(|k| k != "key-2"));
    tokio::time::sleep(APPLY_TIME).await;
    let mut asked = plain("/note/1");
    asked.key = "key-2".to_owned();
    assert_eq!(status(&fleet.nodes[1], &asked).await, 401);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_older_or_broken_configuration_changes_nothing() {
    let mut fleet = fleet("older", 1).await;
    fleet
        .platform
        .change_configuration(|c| c.routes.retain(|r| r.prefix != "/post/"));
    tokio::time::sleep(APPLY_TIME).await;
    assert_eq!(status(&fleet.nodes[0], &plain("/post/1")).await, 404);
    // Writes the configuration with the route under an older version, then an unreadable one.
    fleet.platform.configuration.version = 2;
    fleet.platform.write_configuration();
    fleet.platform.store.put("op/config", "{\"version\":99}{");
    tokio::time::sleep(APPLY_TIME).await;
    assert_eq!(status(&fleet.nodes[0], &plain("/post/1")).await, 404);
    assert_eq!(status(&fleet.nodes[0], &plain("/note/1")).await, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn traffic_continues_without_the_store_and_a_restarted_node_asks_its_peers() {
    let mut fleet = fleet("outage", 2).await;
    fleet.platform.store.set_fault(StoreFault::Silent);
    for _ in 0..10 {
        assert_eq!(status(&fleet.nodes[0], &plain("/post/1")).await, 200);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    fleet.nodes[1].signal(nix::sys::signal::Signal::SIGKILL);
    assert!(
        fleet.nodes[1]
            .wait_until_ended(Duration::from_secs(2))
            .await
    );
    fleet.nodes[1].start().unwrap();
    fleet.nodes[1].wait_until_ready().await.unwrap();
    assert_eq!(status(&fleet.nodes[1], &plain("/post/1")).await, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_compacted_store_is_read_again_in_full() {
    let mut fleet = fleet("compact", 1).await;
    fleet.platform.store.set_fault(StoreFault::Unavailable);
    tokio::time::sleep(Duration::from_millis(1700)).await;
    fleet
        .platform
        .change_configuration(|c| c.routes.retain(|r| r.prefix != "/post/"));
    fleet.platform.store.compact();
    fleet.platform.store.set_fault(StoreFault::None);
    tokio::time::sleep(APPLY_TIME).await;
    assert_eq!(status(&fleet.nodes[0], &plain("/post/1")).await, 404);
}
