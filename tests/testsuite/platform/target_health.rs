//! Nodes share the health of plain targets: one that fails is ejected on all of them.

use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use azuresaddle_standin::platform::{Caller, PlatformOptions};
use azuresaddle_standin::soak::{Fleet, FleetOptions, NodeProcess, ProxyMode};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

use super::support::{dir, plain, program, status};

/// Time within which a change at one node reaches all nodes.
const PROPAGATION_TIME: Duration = Duration::from_millis(600);

/// Time within which the port of a killed target is closed.
const CLOSE_TIME: Duration = Duration::from_millis(200);

/// Requests within which each node has sent some to every target.
const MAX_REQUESTS: usize = 60;

async fn open(test: &str) -> Fleet {
    let platform = PlatformOptions {
        engines: 1,
        plain: 4,
    };
    let options = FleetOptions { nodes: 3, platform };
    let fleet = Fleet::open(program(), &dir(test), options).await.unwrap();
    tokio::time::sleep(PROPAGATION_TIME).await;
    fleet
}

/// Keeps the port of a killed target from the servers of other tests, once it is closed. Connections to it are refused.
async fn hold_port(addr: SocketAddr) -> TcpSocket {
    let held = async {
        loop {
            let socket = TcpSocket::new_v4().unwrap();
            socket.set_reuseaddr(true).unwrap();
            if socket.bind(addr).is_ok() {
                return socket;
            }
            tokio::task::yield_now().await;
        }
    };
    timeout(CLOSE_TIME, held).await.expect("the port is closed")
}

/// Output of `azuresaddle targets` for a node.
fn ejected(node: &NodeProcess) -> String {
    let output = Command::new(program())
        .args(["targets", "--node", &node.metrics_addr().to_string()])
        .output()
        .unwrap();
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap()
}

/// Guards against each node sending to a target that other nodes have found to be down, and against a target that stays
/// ejected after its restart.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_is_down_is_ejected_on_all_nodes() {
    let mut fleet = open("ejected").await;
    let id = fleet.platform.plain[0].id().to_owned();
    fleet.platform.plain[0].kill();
    // The proxy in front of the target accepts one more connection before it refuses them like the target.
    let proxy = fleet.target_proxies[fleet.platform.engines.len()].addr;
    TcpStream::connect(proxy).await.unwrap();
    let port = hold_port(fleet.platform.plain[0].addr()).await;
    tokio::time::sleep(CLOSE_TIME).await;
    let mut is_listed = false;
    for _ in 0..MAX_REQUESTS {
        for node in &fleet.nodes[..2] {
            assert_eq!(status(node, &plain("/post/1")).await, 200);
        }
        is_listed = ejected(&fleet.nodes[0]).contains(&id);
        if is_listed {
            break;
        }
    }
    assert!(is_listed, "the target is never ejected");
    tokio::time::sleep(PROPAGATION_TIME).await;
    // The third node has sent nothing, and knows the target is down all the same.
    for node in &fleet.nodes {
        assert!(ejected(node).contains(&id));
        assert!(node.log_text().contains("target ejected"));
    }
    for _ in 0..20 {
        assert_eq!(status(&fleet.nodes[2], &plain("/post/1")).await, 200);
    }
    assert!(!fleet.nodes[2].log_text().contains("send failed"));
    drop(port);
    fleet.platform.restart_plain(0).await.unwrap();
    tokio::time::sleep(PROPAGATION_TIME).await;
    for node in &fleet.nodes {
        assert!(!ejected(node).contains(&id));
    }
}

/// Time after which a plain request that may run only once has waited for an answer longer than another one would have,
/// but not nearly as long as its deadline.
const OVERDUE_TIME: Duration = Duration::from_millis(1800);

/// Guards against a silent target that is noticed only at the deadlines of the requests that wait for it.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_does_not_answer_is_ejected_while_requests_still_wait() {
    let fleet = open("silent-ejected").await;
    let silent = fleet.platform.engines.len();
    fleet.target_proxies[silent].set_mode(ProxyMode::Silent);
    let mut waiting = Vec::new();
    for _ in 0..12 {
        for node in &fleet.nodes[..2] {
            let addr = node.callers_addr();
            let asked = plain("/post/1");
            waiting.push(tokio::spawn(async move {
                Caller::default().ask(addr, &asked).await
            }));
        }
    }
    tokio::time::sleep(OVERDUE_TIME).await;
    assert!(waiting.iter().any(|request| !request.is_finished()));
    for node in &fleet.nodes {
        assert!(node.log_text().contains("target ejected"));
    }
    for request in waiting {
        request.abort();
    }
}
