//! Address lookups of callers in several failure domains, in a fleet of hosts of two sizes.

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use azuresaddle_standin::soak::{Fleet, NodeProcess};
use nix::sys::signal::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::time::Instant;

use super::support::{dir, fleet, plain, status};

/// Time after which callers are no longer given the address of a node that was killed: nodes notice within 4 s, and
/// check what they offer once a second.
const TIME_TO_LEAVE_OUT: Duration = Duration::from_secs(6);

/// Time for which a node with a load states it, and for the others to hear of it.
const TIME_TO_SPREAD: Duration = Duration::from_secs(10);

/// Starts a node again after a change of its settings file.
async fn restart_with(node: &mut NodeProcess, test: &str, change: impl Fn(&str) -> String) {
    node.signal(Signal::SIGKILL);
    assert!(node.wait_until_ended(Duration::from_secs(5)).await);
    let path = dir(test).join(format!("{}.toml", node.name));
    let settings = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, change(&settings)).unwrap();
    node.start().unwrap();
    node.wait_until_ready().await.unwrap();
}

/// Starts four nodes; the last two are in a second failure domain, and only the first has a larger host.
async fn uneven_fleet(test: &str) -> Fleet {
    let mut fleet = fleet(test, 4).await;
    for node in &mut fleet.nodes[2..] {
        restart_with(node, test, |s| s.replace("zone = \"d1\"", "zone = \"d2\"")).await;
    }
    restart_with(&mut fleet.nodes[0], test, |s| {
        s.replace("cpu_quota = 0.25", "cpu_quota = 0.5")
    })
    .await;
    // The weights of hosts are known with the next check of what is offered.
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet
}

/// Looks up addresses at a node from a caller's own IP address.
async fn lookup(node: &NodeProcess, caller: u8, query: &str) -> Vec<SocketAddr> {
    let socket = TcpSocket::new_v4().unwrap();
    let ip = Ipv4Addr::new(127, 0, 9, caller);
    socket.bind((ip, 0).into()).unwrap();
    let mut stream = socket.connect(node.directory_addr()).await.unwrap();
    let request = format!("GET /resolve?{query} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    let (_, json) = answer.split_once("\r\n\r\n").unwrap();
    let answer: serde_json::Value = serde_json::from_str(json).unwrap();
    let listed = answer["addresses"].as_array().unwrap().iter();
    listed
        .map(|a| a.as_str().unwrap().parse().unwrap())
        .collect()
}

fn addrs(nodes: &[NodeProcess]) -> HashSet<SocketAddr> {
    nodes.iter().map(NodeProcess::callers_addr).collect()
}

/// Guards against callers that are sent to other failure domains first, and against answers that depend on the node.
#[tokio::test(flavor = "multi_thread")]
async fn callers_get_nodes_of_their_own_domain_first() {
    let fleet = uneven_fleet("addresses").await;
    for caller in 1..20 {
        for (domain, own) in [("d1", &fleet.nodes[..2]), ("d2", &fleet.nodes[2..])] {
            let query = format!("name=desk.example&region=r1&zone={domain}");
            let answer = lookup(&fleet.nodes[0], caller, &query).await;
            assert!(addrs(own).contains(&answer[0]), "{domain}: {answer:?}");
            let is_other = |a: &SocketAddr| !addrs(own).contains(a);
            assert!(answer.iter().any(is_other), "{domain}: {answer:?}");
            assert_eq!(answer, lookup(&fleet.nodes[3], caller, &query).await);
        }
    }
    let all = lookup(&fleet.nodes[0], 1, "name=desk.example").await;
    assert_eq!(
        all.iter().copied().collect::<HashSet<_>>(),
        addrs(&fleet.nodes)
    );
    let metrics = fleet.nodes[0].metrics().await.unwrap();
    assert!(
        metrics.contains("azuresaddle_lookups_total{answer=\"selected\"} 38"),
        "{metrics}"
    );
    assert!(metrics.contains("azuresaddle_lookups_total{answer=\"ranked\"} 1"));
    assert_eq!(status(&fleet.nodes[2], &plain("/note/1")).await, 200);
}

/// Guards against callers that are left without an address when all nodes of their domain end.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_domain_that_ends_get_the_others() {
    let mut fleet = uneven_fleet("addresses-outage").await;
    let query = "name=desk.example&zone=d2";
    let before = lookup(&fleet.nodes[0], 1, query).await;
    assert!(
        before.iter().any(|a| addrs(&fleet.nodes[..2]).contains(a)),
        "{before:?}"
    );
    for node in &mut fleet.nodes[2..] {
        node.signal(Signal::SIGKILL);
    }
    let until = Instant::now() + TIME_TO_LEAVE_OUT;
    let live = addrs(&fleet.nodes[..2]);
    loop {
        let answer = lookup(&fleet.nodes[0], 1, query).await;
        if answer.iter().all(|a| live.contains(a)) {
            assert_eq!(answer.len(), 2);
            break;
        }
        assert!(Instant::now() < until, "{answer:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against a loaded host whose level does not reach the other nodes: with almost no memory left by its limit, a
/// node is at the highest level.
#[tokio::test(flavor = "multi_thread")]
async fn a_full_host_states_its_load_to_all_nodes() {
    let test = "addresses-load";
    let mut fleet = uneven_fleet(test).await;
    let is_full = |s: &str| s.replace("memory_mb = 260", "memory_mb = 1");
    restart_with(&mut fleet.nodes[1], test, is_full).await;
    let full = fleet.nodes[1].callers_addr();
    let until = Instant::now() + TIME_TO_SPREAD;
    loop {
        let metrics = fleet.nodes[1].metrics().await.unwrap_or_default();
        let mut preferred = 0;
        for caller in 1..=60 {
            let answer = lookup(&fleet.nodes[3], caller, "name=desk.example&zone=d1").await;
            preferred += usize::from(answer[0] == full);
        }
        // Nodes of a domain are in the order of their scores: the full one is first for one caller in twenty rather
        // than for every second one.
        if metrics.contains("azuresaddle_load_level 3") && preferred < 15 {
            break;
        }
        assert!(
            Instant::now() < until,
            "preferred by {preferred}: {metrics}"
        );
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}
