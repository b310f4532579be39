//! A store that is briefly unavailable and is then restored from a copy some seconds old.
//!
//! Writes after the copy are lost, revision numbers and lease ids are reused, and the operator and the targets write
//! their entries again in any order. Guards against comparing revisions alone: nodes then ignore an entry that is
//! written again with a lower revision, and accept an outdated one that the copy restored.

use std::time::Duration;

use azuresaddle_standin::platform::{PlatformOptions, StoreFault, StoreRollback, TargetHandle};
use azuresaddle_standin::soak::{Fleet, FleetOptions, ProxyMode};
use bytes::Bytes;
use nix::sys::signal::Signal;
use tokio::time::Instant;

use super::support::{ask, dir, plain, program, status, stream};

/// Age of the copy. Tests wait longer than this before their changes, so that the copy contains the initial state.
const COPY_AGE: Duration = Duration::from_millis(3000);

/// Time for which the store is unavailable.
const OUTAGE: Duration = Duration::from_millis(700);

/// Time within which nodes detect that the store was restored.
const DETECTION_TIME: Duration = Duration::from_millis(1000);

/// Time after the return within which all nodes agree with the store: live entries are written again within about two
/// seconds from when a node detects the return.
const SETTLE_TIME: Duration = DETECTION_TIME.saturating_add(Duration::from_millis(2200));

/// Time within which a change is in effect on all nodes.
const APPLY_TIME: Duration = Duration::from_millis(1800);

fn store_return(seed: u64) -> StoreRollback {
    StoreRollback {
        outage: OUTAGE,
        copy_age: COPY_AGE,
        seed,
    }
}

/// Starts nodes and waits until they have run for longer than the age of the copy.
async fn settled_fleet(test: &str) -> Fleet {
    let world = PlatformOptions {
        engines: 4,
        plain: 4,
    };
    let options = FleetOptions {
        nodes: 3,
        platform: world,
    };
    let fleet = Fleet::open(program(), &dir(test), options).await.unwrap();
    tokio::time::sleep(COPY_AGE + Duration::from_millis(400)).await;
    fleet
}

/// Sends requests to all nodes for `time`; returns whether `target` ran any of them.
async fn receives_requests(fleet: &Fleet, target: &TargetHandle, time: Duration) -> bool {
    let until = Instant::now() + time;
    let mut reached = false;
    while Instant::now() < until {
        for node in &fleet.nodes {
            let answer = ask(node, &plain("/note/1")).await.unwrap();
            assert_eq!(answer.status, 200);
            let seal = answer.signature.unwrap_or_default();
            reached |= seal.starts_with(target.id());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    reached
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_target_still_gets_no_work_after_the_return() {
    let fleet = settled_fleet("return-drain").await;
    let leaving = fleet.platform.plain[0].clone();
    assert!(receives_requests(&fleet, &leaving, Duration::from_millis(400)).await);
    fleet.platform.drain(&leaving);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.platform.roll_back_store(store_return(1)).await;
    assert!(!receives_requests(&fleet, &leaving, SETTLE_TIME).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_drains_after_the_return_gets_no_work() {
    let mut fleet = settled_fleet("return-drain-after").await;
    for _ in 0..40 {
        fleet.platform.write_configuration();
    }
    // The entry gets a revision that the restored store reaches again only much later.
    fleet.platform.restart_plain(1).await.unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.platform.roll_back_store(store_return(2)).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let leaving = fleet.platform.plain[1].clone();
    assert!(receives_requests(&fleet, &leaving, Duration::from_millis(400)).await);
    fleet.platform.drain(&leaving);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(!receives_requests(&fleet, &leaving, Duration::from_millis(500)).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_deregistered_target_gets_no_work_even_from_a_restarted_node() {
    let mut fleet = settled_fleet("return-left").await;
    let gone = fleet.platform.plain[2].clone();
    fleet.platform.deregister(&gone);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.platform.roll_back_store(store_return(3)).await;
    // The restarted node reads the copy, in which the target is ready.
    fleet.nodes[2].signal(Signal::SIGKILL);
    assert!(
        fleet.nodes[2]
            .wait_until_ended(Duration::from_secs(2))
            .await
    );
    fleet.nodes[2].start().unwrap();
    fleet.nodes[2].wait_until_ready().await.unwrap();
    assert!(!receives_requests(&fleet, &gone, Duration::from_millis(1000)).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_missing_from_the_copy_keeps_its_work_only_if_it_writes_again() {
    let mut fleet = settled_fleet("return-unknown").await;
    fleet.platform.add_plain().await.unwrap();
    let new = fleet.platform.plain[4].clone();
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(receives_requests(&fleet, &new, Duration::from_millis(400)).await);
    fleet.platform.roll_back_store(store_return(4)).await;
    assert!(receives_requests(&fleet, &new, Duration::from_millis(900)).await);
    tokio::time::sleep(SETTLE_TIME).await;
    assert!(receives_requests(&fleet, &new, Duration::from_millis(400)).await);

    fleet.platform.add_plain().await.unwrap();
    let lost = fleet.platform.plain[5].clone();
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.platform.abandon_entry(&lost);
    fleet.platform.roll_back_store(store_return(5)).await;
    tokio::time::sleep(SETTLE_TIME).await;
    assert!(!receives_requests(&fleet, &lost, Duration::from_millis(400)).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_never_reverts_even_at_a_restarted_node() {
    let mut fleet = settled_fleet("return-configuration").await;
    fleet
        .platform
        .change_configuration(|c| c.accounts[0].keys.push("key-3".to_owned()));
    let mut asked = plain("/note/1");
    asked.key = "key-3".to_owned();
    tokio::time::sleep(Duration::from_millis(600)).await;
    for node in &fleet.nodes {
        assert_eq!(status(node, &asked).await, 200);
    }
    fleet.platform.roll_back_store(store_return(6)).await;
    fleet.nodes[1].signal(Signal::SIGKILL);
    assert!(
        fleet.nodes[1]
            .wait_until_ended(Duration::from_secs(2))
            .await
    );
    fleet.nodes[1].start().unwrap();
    fleet.nodes[1].wait_until_ready().await.unwrap();
    let until = Instant::now() + SETTLE_TIME;
    while Instant::now() < until {
        for node in &fleet.nodes {
            asked.attempt = plain("/note/1").attempt;
            assert_eq!(status(node, &asked).await, 200);
        }
    }
    // A later configuration takes effect in time.
    fleet
        .platform
        .change_configuration(|c| c.accounts[0].keys.retain(|k| k != "key-3"));
    tokio::time::sleep(APPLY_TIME).await;
    for node in &fleet.nodes {
        assert_eq!(status(node, &asked).await, 401);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_misses_the_return_sees_what_was_written_since() {
    let mut fleet = settled_fleet("return-missed").await;
    for _ in 0..40 {
        fleet.platform.write_configuration();
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.store_proxies[0].set_mode(ProxyMode::Reset);
    for n in 1..3 {
        fleet.nodes[n].signal(Signal::SIGKILL);
    }
    fleet.platform.roll_back_store(store_return(7)).await;
    let leaving = fleet.platform.plain[3].clone();
    fleet.platform.drain(&leaving);
    tokio::time::sleep(SETTLE_TIME).await;
    // Raises the revision past the last one that the cut-off node has seen.
    for _ in 0..40 {
        fleet.platform.write_configuration();
    }
    fleet.store_proxies[0].set_mode(ProxyMode::Pass);
    tokio::time::sleep(APPLY_TIME).await;
    for _ in 0..20 {
        let answer = ask(&fleet.nodes[0], &plain("/note/1")).await.unwrap();
        let seal = answer.signature.unwrap_or_default();
        assert!(!seal.starts_with(leaving.id()), "{seal}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn quarantines_are_written_again_within_a_second() {
    let mut fleet = settled_fleet("return-quarantine").await;
    let body = Bytes::from_static(b"{\"return\":1}");
    fleet.platform.crashing_requests.add(body.clone());
    for n in 0..6 {
        let mut asked = stream("/ask/1", 1500, 6);
        asked.body = body.clone();
        let answer = ask(&fleet.nodes[n % 3], &asked).await;
        assert!(!matches!(answer, Ok(ref a) if a.status == 200));
        tokio::time::sleep(Duration::from_millis(150)).await;
        fleet.platform.restart_ended().await.unwrap();
    }
    let written = |fleet: &Fleet| fleet.platform.store.keys("azuresaddle/crashes/");
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = written(&fleet);
    assert!(before.len() >= 3, "{before:?}");
    // The quarantine is newer than the copy. This holds when the store reverts twice in a row as well.
    for seed in [8, 9] {
        fleet.platform.roll_back_store(store_return(seed)).await;
        assert_eq!(fleet.platform.store.fault(), StoreFault::None);
        tokio::time::sleep(DETECTION_TIME).await;
        let after = written(&fleet);
        assert!(before.iter().all(|k| after.contains(k)), "{after:?}");
    }
}
