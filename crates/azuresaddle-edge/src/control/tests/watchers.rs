//! Tests of which nodes watch the store.

use std::time::Duration;

use tokio::time::Instant;

use super::fleet::Fleet;
use super::members::{heartbeat, ip, members, state};
use crate::control::heartbeat::Heartbeat;
use crate::control::members::Members;
use crate::control::watch_role::WatchRole;

/// Creates a node that knows 40 others, none of which gets answers from the store; its number
/// determines its rank.
fn unwatched(now: Instant, own: u16) -> Members {
    let mut members = members(now, own);
    let others = (1..=40).filter(|n| *n != own).map(|n| {
        let mut state = state(n, 1);
        state.is_watching = false;
        state
    });
    let relayed = Heartbeat {
        from: state(41, 1),
        others: others.collect(),
        digests: Vec::new(),
    };
    members.on_heartbeat(now, ip(41), &relayed);
    members
}

#[tokio::test(start_paused = true)]
async fn more_nodes_watch_the_store_when_few_get_answers() {
    let now = Instant::now();
    assert!(
        unwatched(now, 10).watch_role(now).is_some(),
        "one of the standby watchers"
    );
    let mut last = unwatched(now, 60);
    assert!(
        last.watch_role(now).is_none(),
        "others wait for the standby watchers"
    );
    let later = now + Duration::from_millis(1000);
    assert!(
        last.watch_role(later).is_some(),
        "after a second all 42 nodes watch"
    );
    // Two nodes with a working watch are enough.
    last.on_heartbeat(later, ip(42), &heartbeat(42, 1));
    assert!(last.watch_role(later).is_none());
}

#[tokio::test(start_paused = true)]
async fn only_some_of_300_nodes_call_a_store_that_is_down() {
    let mut fleet = Fleet::new(300);
    for members in &mut fleet.nodes {
        members.update_own(|own| own.is_watching = false);
    }
    fleet.advance(Duration::from_secs(5));
    let now = fleet.now;
    let mut count_watching = |at| {
        let all = fleet.nodes.iter_mut();
        all.filter_map(|m| m.watch_role(at)).count()
    };
    assert_eq!(count_watching(now), 16);
    // 64 nodes, plus a few that do not know all nodes ranked above them.
    let most = count_watching(now + Duration::from_secs(2));
    assert!((64..=70).contains(&most), "{most}");
}

#[tokio::test(start_paused = true)]
async fn a_node_that_has_just_started_delays_its_watch() {
    let now = Instant::now();
    let mut members = members(now, 3);
    members.started_at = now;
    assert!(members.watch_role(now).is_none());
    assert!(
        members
            .watch_role(now + Duration::from_millis(600))
            .is_some()
    );
}

/// A node that has just started knows few of the others, and would take itself for one of the first.
#[tokio::test(start_paused = true)]
async fn a_node_that_knows_a_stronger_one_decides_later_whether_it_watches() {
    let now = Instant::now();
    let mut members = unwatched(now, 10);
    members.started_at = now;
    let soon = now + Duration::from_millis(600);
    assert!(members.watch_role(soon).is_some());
    let mut strong = heartbeat(50, 1);
    strong.from.cpu_milli = members.own.cpu_milli * 4;
    strong.from.is_watching = false;
    members.on_heartbeat(now, ip(50), &strong);
    assert!(members.watch_role(soon).is_none());
    let later = now + Duration::from_millis(1300);
    assert!(members.watch_role(later).is_some());
}

/// With every change each watcher makes a paid call, while the others hear of the change from the first one.
#[tokio::test(start_paused = true)]
async fn only_the_first_watcher_that_gets_answers_leads() {
    let now = Instant::now();
    let mut members = unwatched(now, 2);
    assert_eq!(members.watch_role(now), Some(WatchRole::Leading));
    // A node that ranks first gets answers from the store.
    let mut first = heartbeat(60, 1);
    first.from.is_watching = true;
    first.from.term = 1;
    members.on_heartbeat(now, ip(60), &first);
    assert_eq!(members.watch_role(now), Some(WatchRole::Standby));
    first.from.counter += 1;
    first.from.is_watching = false;
    members.on_heartbeat(now, ip(60), &first);
    assert_eq!(members.watch_role(now), Some(WatchRole::Leading));
}
