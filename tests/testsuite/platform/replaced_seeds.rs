//! Nodes whose settings name no seed that is left.

use std::net::Ipv4Addr;
use std::time::Duration;

use azuresaddle_standin::soak::{Fleet, NodeProcess};
use nix::sys::signal::Signal;
use tokio::time::Instant;

use super::support::{dir, fleet, program};

/// Time after the start of the last node within which all nodes know each other.
const TIME_TO_JOIN: Duration = Duration::from_secs(5);

/// Time for which they must not lose each other again.
const TIME_TO_STAY: Duration = Duration::from_secs(3);

/// Interval between two checks.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Addresses of the first two nodes of a fleet, which the settings of all nodes name as seeds.
fn seeds(fleet: &Fleet) -> Vec<Ipv4Addr> {
    fleet.nodes[..2].iter().map(|n| n.ip).collect()
}

async fn kill(nodes: impl Iterator<Item = NodeProcess>) {
    for mut node in nodes {
        node.signal(Signal::SIGKILL);
        assert!(node.wait_until_ended(Duration::from_secs(2)).await);
    }
}

/// Address of a node by its number in the test.
fn ip(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 0, 10 + number)
}

/// Starts a node at an address that no node has had.
fn add(fleet: &mut Fleet, test: &str, (number, port): (u8, u16), seeds: &[Ipv4Addr]) {
    let name = format!("n{number}");
    let ip = ip(number);
    let settings = fleet.platform.settings(&name, ip, port, seeds);
    let started = NodeProcess::spawn(program(), &dir(test), &name, (ip, port), &settings);
    fleet.nodes.push(started.unwrap());
}

/// How many nodes each node knows, and how many take themselves for the owner.
async fn views(fleet: &Fleet) -> (Vec<String>, usize) {
    let mut known = Vec::new();
    let mut owners = 0;
    for node in &fleet.nodes {
        let metrics = node.metrics().await.unwrap_or_default();
        let value = |name: &str| {
            let mut lines = metrics.lines();
            lines.find_map(|l| l.strip_prefix(name)).map(str::to_owned)
        };
        known.push(value("azuresaddle_nodes ").unwrap_or_default());
        owners += usize::from(value("azuresaddle_owner ").as_deref() == Some("1"));
    }
    (known, owners)
}

/// Waits until all nodes know each other and one of them is the owner, and checks that it stays so.
async fn assert_joined(fleet: &Fleet) {
    let all = vec![fleet.nodes.len().to_string(); fleet.nodes.len()];
    let until = Instant::now() + TIME_TO_JOIN;
    loop {
        let views = views(fleet).await;
        if views == (all.clone(), 1) {
            break;
        }
        assert!(Instant::now() < until, "{views:?}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let until = Instant::now() + TIME_TO_STAY;
    while Instant::now() < until {
        assert_eq!(views(fleet).await, (all.clone(), 1));
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Guards against nodes that each take themselves for the owner for good.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_replace_all_seeds_at_once_join_the_others() {
    let test = "replaced-seeds";
    let mut fleet = fleet(test, 5).await;
    let seeds = seeds(&fleet);
    kill(fleet.nodes.drain(..3)).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let port = fleet.nodes[0].port;
    for number in 5..8 {
        add(&mut fleet, test, (number, port), &seeds);
    }
    assert_joined(&fleet).await;
}

/// Guards against two groups of nodes, each with seeds among its own nodes only.
#[tokio::test(flavor = "multi_thread")]
async fn new_nodes_that_name_each_other_as_seeds_join_the_others() {
    let test = "seeds-of-their-own";
    let mut fleet = fleet(test, 5).await;
    kill(fleet.nodes.drain(..3)).await;
    let port = fleet.nodes[0].port;
    for number in 5..8 {
        add(&mut fleet, test, (number, port), &[5, 6, 7].map(ip));
    }
    assert_joined(&fleet).await;
}

/// Guards against a fleet that moves to other addresses as a whole.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_replace_all_others_find_each_other() {
    let test = "all-replaced";
    let mut fleet = fleet(test, 3).await;
    let seeds = seeds(&fleet);
    let port = fleet.nodes[0].port;
    kill(fleet.nodes.drain(..)).await;
    for number in 3..6 {
        add(&mut fleet, test, (number, port), &seeds);
    }
    assert_joined(&fleet).await;
}
