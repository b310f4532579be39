//! The `quarantine` command: an operator lists quarantined requests and ends a quarantine early.

use std::process::{Command, Output};
use std::time::Duration;

use azuresaddle_standin::platform::PlatformOptions;
use azuresaddle_standin::soak::{Fleet, FleetOptions};
use bytes::Bytes;

use super::support::{ask, dir, program, stream};

/// Time within which a change at one node reaches all nodes.
const PROPAGATION_TIME: Duration = Duration::from_millis(600);

fn quarantine(fleet: &Fleet, args: &[&str]) -> Output {
    let node = fleet.nodes[0].metrics_addr().to_string();
    Command::new(program())
        .arg("quarantine")
        .args(args)
        .args(["--node", &node])
        .output()
        .unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_operator_lists_and_ends_a_quarantine() {
    let world = PlatformOptions {
        engines: 6,
        plain: 2,
    };
    let options = FleetOptions {
        nodes: 3,
        platform: world,
    };
    let opened = Fleet::open(program(), &dir("quarantine-command"), options).await;
    let mut fleet = opened.unwrap();
    tokio::time::sleep(PROPAGATION_TIME).await;
    let body = Bytes::from_static(b"{\"listed\":1}");
    fleet.platform.crashing_requests.add(body.clone());
    let asked = || {
        let mut asked = stream("/ask/1", 1500, 6);
        asked.body = body.clone();
        asked
    };
    for n in 0..6 {
        // The request never gets a complete answer.
        let answer = ask(&fleet.nodes[n % 3], &asked()).await;
        assert!(!matches!(answer, Ok(ref a) if a.status == 200));
        tokio::time::sleep(Duration::from_millis(150)).await;
        fleet.platform.restart_ended().await.unwrap();
    }
    let listed = quarantine(&fleet, &["list"]);
    assert!(listed.status.success(), "{listed:?}");
    let text = String::from_utf8(listed.stdout).unwrap();
    let request = text.lines().nth(1).unwrap().split_whitespace().next();
    let request = request.unwrap().to_owned();

    let reached = fleet.platform.crashing_requests.targets_reached(&body);
    assert_eq!(ask(&fleet.nodes[1], &asked()).await.unwrap().status, 503);
    assert_eq!(
        fleet.platform.crashing_requests.targets_reached(&body),
        reached
    );
    let ended = quarantine(&fleet, &["end", &request]);
    assert!(ended.status.success(), "{ended:?}");
    tokio::time::sleep(PROPAGATION_TIME).await;
    // The request is sent to targets again, even by another node.
    let _ = ask(&fleet.nodes[1], &asked()).await;
    assert!(fleet.platform.crashing_requests.targets_reached(&body) > reached);
    let again = quarantine(&fleet, &["end", "00000000000000000000000000000001"]);
    assert_eq!(again.status.code(), Some(1));
    let wrong = quarantine(&fleet, &["end", "nothing"]);
    assert_eq!(wrong.status.code(), Some(2));
}
