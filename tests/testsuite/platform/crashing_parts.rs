//! Parts of prompts that crash every target that runs a request with them.

use std::time::Duration;

use azuresaddle_standin::platform::{CallerRequest, PlatformOptions};
use azuresaddle_standin::soak::{Fleet, FleetOptions};
use bytes::Bytes;
use futures::future::join_all;
use tokio::time::Instant;

use super::support::{ask, dir, program, stream};

/// The part that crashes targets.
const CRASHING_PART: &str = "bad0";

/// Crashes after which the part must be known.
const CRASHES: usize = 5;

/// Time after that within which all nodes must know of it.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Most requests with the part that may reach targets later.
const MAX_LATER_SENDS: usize = 3;

/// Time for which requests with the part come.
const ATTACK_TIME: Duration = Duration::from_secs(8);

/// Time between two rounds, each with one request with the part and one sound request a node.
const ROUND_INTERVAL: Duration = Duration::from_millis(150);

/// Rounds of sound requests before the first crash.
const SOUND_ROUNDS: u64 = 10;

/// A request that is like no other one.
fn unique(number: u64, parts: &str) -> CallerRequest {
    CallerRequest {
        prompt_parts: format!("{parts},{number:x}:40"),
        body: Bytes::from(format!("{{\"n\":{number}}}")),
        ..stream("/ask/1", 900, 3)
    }
}

/// The parts that all requests begin with.
fn leading_parts(count: usize) -> String {
    let parts: Vec<String> = (0..count).map(|n| format!("a{n}:400")).collect();
    parts.join(",")
}

/// A sound request, which shares its leading parts and one of four others with requests that crash targets.
fn sound(number: u64, leading: &str) -> CallerRequest {
    let shared = number % 4;
    unique(number, &format!("{leading},c{shared}:100"))
}

/// A request with the part that crashes targets.
fn crashing(number: u64, leading: &str) -> CallerRequest {
    let shared = number % 4;
    let parts = format!("{leading},{CRASHING_PART}:100,c{shared}:100");
    unique(number, &parts)
}

/// Sends one sound request to each node; returns how many were served.
async fn send_sound(fleet: &Fleet, round: u64, leading: &str) -> usize {
    let nodes = fleet.nodes.iter().zip(1..);
    let served = nodes.map(|(node, n)| async move {
        let answer = ask(node, &sound(1_000_000 + round * 10 + n, leading)).await;
        answer.is_ok_and(|a| a.status == 200)
    });
    join_all(served).await.into_iter().filter(|s| *s).count()
}

async fn open(test: &str) -> Fleet {
    let platform = PlatformOptions {
        engines: 8,
        plain: 1,
    };
    let options = FleetOptions { nodes: 3, platform };
    let fleet = Fleet::open(program(), &dir(test), options).await.unwrap();
    tokio::time::sleep(Duration::from_millis(400)).await;
    fleet
}

/// Guards against a part of a prompt that crashes targets in request after request, of which no two are alike, and
/// against sound requests that are held back because they share other parts with these.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_share_a_crashing_part_are_kept_from_targets() {
    send_crashing_part("crashing-part", 1).await;
}

/// Guards against a crashing part that is never kept from targets since it stands behind many others.
#[tokio::test(flavor = "multi_thread")]
async fn requests_with_a_crashing_part_behind_many_others_are_kept_from_targets() {
    send_crashing_part("crashing-part-behind", 9).await;
}

/// Guards against sound requests that are refused with all of the many parts that they share with requests that crash targets.
#[tokio::test(flavor = "multi_thread")]
async fn sound_requests_that_share_forty_parts_with_crashing_ones_are_served() {
    send_crashing_part("crashing-part-far-behind", 40).await;
}

/// Sends requests with a crashing part behind `leading` parts that sound requests share, beside sound requests.
async fn send_crashing_part(test: &str, leading: usize) {
    let leading = leading_parts(leading);
    let mut fleet = open(test).await;
    for round in 0..SOUND_ROUNDS {
        assert_eq!(send_sound(&fleet, round, &leading).await, fleet.nodes.len());
    }
    fleet
        .platform
        .crashing_requests
        .add_prompt_part(CRASHING_PART);
    let end = Instant::now() + ATTACK_TIME;
    let (mut sent, mut served) = (0, 0);
    for round in SOUND_ROUNDS.. {
        if Instant::now() >= end {
            break;
        }
        let node = &fleet.nodes[round as usize % fleet.nodes.len()];
        let attack = crashing(round, &leading);
        let (_, served_now, ()) = tokio::join!(
            ask(node, &attack),
            send_sound(&fleet, round, &leading),
            tokio::time::sleep(ROUND_INTERVAL)
        );
        // The last third, in which the cause must be known and the targets be back.
        if Instant::now() + ATTACK_TIME / 3 >= end {
            sent += fleet.nodes.len();
            served += served_now;
        }
        fleet.platform.restart_ended().await.unwrap();
    }
    let times = fleet.platform.crashing_requests.arrival_times();
    let (_, times) = times.into_iter().next().unwrap();
    let later = times.get(CRASHES - 1).map_or(0, |fifth| {
        let late = |at: &&Instant| **at > *fifth + PROPAGATION_TIME;
        times.iter().filter(late).count()
    });
    assert!(
        later <= MAX_LATER_SENDS,
        "{later} of {} requests with the part reached targets late",
        times.len()
    );
    assert!(
        served * 10 >= sent * 9,
        "{served} of {sent} sound requests served"
    );
}
