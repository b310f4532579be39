//! Failure domains that the operator drains: no node sends a new request to their targets.

use std::time::Duration;

use azuresaddle_standin::platform::{CallerRequest, StoreRollback, TargetHandle};
use azuresaddle_standin::soak::{Fleet, NodeProcess, ProxyMode};
use tokio::time::Instant;

use super::support::{arrivals_since, fleet, plain, status, stream};

/// Longest time after which no node that reaches the store sends a request to the domain.
const TIME_TO_APPLY: Duration = Duration::from_secs(1);

/// The same for a node that only hears of the drain from other nodes.
const TIME_TO_SPREAD: Duration = Duration::from_secs(2);

/// Moves half of the engines and of the plain targets to a second failure domain, and returns them.
async fn second_domain(fleet: &mut Fleet) -> Vec<TargetHandle> {
    let engines = fleet.platform.engines[..2].iter();
    let moved: Vec<TargetHandle> = engines.chain(&fleet.platform.plain[..1]).cloned().collect();
    for target in &moved {
        fleet.platform.move_to_domain(target, "d2");
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    moved
}

/// Sends requests of each kind to the nodes for a time; returns the statuses of the answers.
async fn load(nodes: &[NodeProcess], length: Duration) -> Vec<u16> {
    let end = Instant::now() + length;
    // Half of the engines have room for this load with time to spare.
    let kinds: [(fn() -> CallerRequest, u64); 3] = [
        (|| stream("/ask/1", 1500, 2), 20),
        (|| stream("/ask/2", 60_000, 2), 400),
        (|| plain("/post/1"), 20),
    ];
    let callers = nodes.iter().flat_map(|node| kinds.map(|kind| (node, kind)));
    let callers = callers.map(|(node, (asked, pause_ms))| async move {
        let mut statuses = Vec::new();
        while Instant::now() < end {
            statuses.push(status(node, &asked()).await);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        statuses
    });
    futures::future::join_all(callers).await.concat()
}

fn arrived_since(targets: &[TargetHandle], from: Instant) -> usize {
    targets.iter().map(|t| arrivals_since(t, from).len()).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_domain_gets_no_new_requests() {
    let mut fleet = fleet("domain-drain", 3).await;
    let moved = second_domain(&mut fleet).await;
    let began = Instant::now();
    load(&fleet.nodes, Duration::from_secs(1)).await;
    assert!(arrived_since(&moved, began) > 0);
    fleet.platform.drain_domain("d2");
    let bound = Instant::now() + TIME_TO_APPLY;
    let statuses = load(&fleet.nodes, Duration::from_secs(3)).await;
    assert_eq!(arrived_since(&moved, bound), 0);
    // The other domain has room for all requests.
    assert!(statuses.iter().all(|s| *s == 200), "{statuses:?}");
    fleet.platform.end_domain_drain("d2");
    tokio::time::sleep(TIME_TO_APPLY).await;
    let returned_at = Instant::now();
    load(&fleet.nodes, Duration::from_secs(1)).await;
    assert!(arrived_since(&moved, returned_at) > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_without_the_store_hears_of_a_drained_domain_from_others() {
    let mut fleet = fleet("domain-drain-cut", 3).await;
    let moved = second_domain(&mut fleet).await;
    fleet.store_proxies[2].set_mode(ProxyMode::Silent);
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.platform.drain_domain("d2");
    let bound = Instant::now() + TIME_TO_SPREAD;
    load(&fleet.nodes[2..], Duration::from_secs(4)).await;
    assert_eq!(arrived_since(&moved, bound), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_during_a_drain_knows_it_from_the_first_request() {
    let mut fleet = fleet("domain-drain-start", 3).await;
    let moved = second_domain(&mut fleet).await;
    fleet.platform.drain_domain("d2");
    tokio::time::sleep(TIME_TO_SPREAD).await;
    let began = Instant::now();
    fleet.nodes[1].signal(nix::sys::signal::Signal::SIGKILL);
    fleet.nodes[1]
        .wait_until_ended(Duration::from_secs(5))
        .await;
    fleet.nodes[1].start().unwrap();
    fleet.nodes[1].wait_until_ready().await.unwrap();
    load(&fleet.nodes[1..2], Duration::from_secs(2)).await;
    assert_eq!(arrived_since(&moved, began), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn with_every_domain_drained_requests_are_refused_at_once_as_not_run() {
    let mut fleet = fleet("domain-drain-all", 2).await;
    let moved = second_domain(&mut fleet).await;
    fleet.platform.drain_domain("d1");
    fleet.platform.drain_domain("d2");
    tokio::time::sleep(TIME_TO_APPLY).await;
    for asked in [
        stream("/ask/1", 1500, 2),
        plain("/post/1"),
        plain("/note/1"),
    ] {
        let began = Instant::now();
        assert_eq!(status(&fleet.nodes[0], &asked).await, 503);
        assert!(began.elapsed() < Duration::from_millis(300));
        assert_eq!(fleet.platform.runs.of(&asked.attempt).count, 0);
    }
    // One of them returns.
    fleet.platform.end_domain_drain("d2");
    tokio::time::sleep(TIME_TO_APPLY).await;
    let returned_at = Instant::now();
    assert_eq!(status(&fleet.nodes[0], &plain("/post/1")).await, 200);
    assert_eq!(arrived_since(&moved, returned_at), 1);
}

/// The drain is lost with the store's latest seconds, and the operator writes it again within two seconds.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_holds_while_the_store_returns_from_an_older_copy() {
    let mut fleet = fleet("domain-drain-rollback", 3).await;
    let moved = second_domain(&mut fleet).await;
    let rollback = StoreRollback {
        outage: Duration::from_millis(700),
        copy_age: Duration::from_secs(3),
        seed: 41,
    };
    tokio::time::sleep(rollback.copy_age).await;
    fleet.platform.drain_domain("d2");
    tokio::time::sleep(TIME_TO_APPLY).await;
    let began = Instant::now();
    let returns = fleet.platform.roll_back_store(rollback);
    tokio::join!(returns, load(&fleet.nodes, Duration::from_secs(6)));
    assert_eq!(arrived_since(&moved, began), 0);
}
