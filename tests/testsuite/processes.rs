//! Real node processes on loopback that are killed, paused and terminated. Only outcomes are checked, not times.

use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use azuresaddle_core::bounded_time::saturating_seconds;
use azuresaddle_core::host_list::{Host, HostKind};
use azuresaddle_core::http::HttpClient;
use azuresaddle_core::net::TcpNetwork;
use azuresaddle_core::prelude::*;
use azuresaddle_standin::engine::{EngineOptions, EngineServer};
use azuresaddle_standin::hosts::HostListServer;
use azuresaddle_standin::load::{LoadPlan, LoadSummary, RequestProfile, run_load};
use azuresaddle_standin::store::StoreServer;

/// Longest wait for the nodes to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// A node process, killed when dropped.
struct NodeProcess {
    child: Child,
    addr: SocketAddr,
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl NodeProcess {
    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &pid]).status();
        assert!(sent.expect("kill can be run").success());
    }
}

struct System {
    engines: Vec<EngineServer>,
    nodes: Vec<NodeProcess>,
    _hosts: HostListServer,
    _store: StoreServer,
}

/// An address whose port is free at the moment.
async fn free_port() -> SocketAddr {
    let listener = TcpNetwork.bind(localhost()).await.expect("a free port");
    listener.local_addr()
}

fn localhost() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn host(name: &str, addr: SocketAddr, kind: HostKind) -> Host {
    Host {
        name: HostName::new(name),
        addr,
        domain: FailureDomain::new("d1"),
        leaving: false,
        kind,
    }
}

async fn open_system(nodes: usize, engines: usize) -> System {
    let spawner = Spawner::current();
    let store = StoreServer::bind(&TcpNetwork, localhost(), &spawner)
        .await
        .expect("a store");
    let mut hosts = Vec::new();
    let mut servers = Vec::new();
    let options = EngineOptions {
        decode_step: Duration::from_millis(5),
        ..EngineOptions::default()
    };
    for i in 0..engines {
        let server = EngineServer::bind(
            &TcpNetwork,
            localhost(),
            &spawner,
            options.clone(),
            Incarnation(1),
        )
        .await
        .expect("an engine");
        let kind = HostKind::Engine {
            model: Model::new("m"),
            memory_tokens: options.memory_tokens,
            checks_fencing: true,
        };
        hosts.push(host(&format!("e{i}"), server.addr(), kind));
        servers.push(server);
    }
    let mut addrs = Vec::new();
    for i in 0..nodes {
        let (addr, peer_addr) = (free_port().await, free_port().await);
        addrs.push((format!("n{i}"), addr, peer_addr));
        hosts.push(host(&format!("n{i}"), addr, HostKind::Entry { peer_addr }));
    }
    let list = HostListServer::bind(&TcpNetwork, localhost(), &spawner, hosts, Duration::ZERO)
        .await
        .expect("a host list");
    let nodes = addrs
        .iter()
        .map(|(name, addr, peer_addr)| spawn_node(name, *addr, *peer_addr, &store, &list))
        .collect();
    System {
        engines: servers,
        nodes,
        _hosts: list,
        _store: store,
    }
}

fn spawn_node(
    name: &str,
    addr: SocketAddr,
    peer_addr: SocketAddr,
    store: &StoreServer,
    hosts: &HostListServer,
) -> NodeProcess {
    let child = Command::new(env!("CARGO_BIN_EXE_azuresaddle"))
        .args([
            "node",
            "--name",
            name,
            "--domain",
            "d1",
            "--traffic-threads",
            "2",
        ])
        .args([
            "--listen",
            &addr.to_string(),
            "--peer-listen",
            &peer_addr.to_string(),
        ])
        .args([
            "--admin-listen",
            "127.0.0.1:0",
            "--store",
            &store.addr().to_string(),
        ])
        .args([
            "--host-list",
            &hosts.addr().to_string(),
            "--log-level",
            "error",
        ])
        .stdin(Stdio::null())
        .spawn();
    NodeProcess {
        child: child.expect("the node starts"),
        addr,
    }
}

/// Sends requests until one is answered completely, which means that the pool has an owner.
async fn wait_until_ready(system: &System) {
    let started = tokio::time::Instant::now();
    while started.elapsed() < READY_TIMEOUT {
        let report = load(system, 1.0, 2.0).await;
        if report.whole > 0 {
            return;
        }
    }
    panic!("no answer within {READY_TIMEOUT:?}");
}

async fn load(system: &System, seconds: f64, rate: f64) -> LoadSummary {
    let http = HttpClient::new(TcpNetwork, Spawner::current());
    let seeds: Vec<_> = system.nodes.iter().map(|n| n.addr).collect();
    let step = |rate, min_tokens, max_tokens| RequestProfile {
        account: ClientAccount::new("a"),
        rate,
        min_tokens,
        max_tokens,
        kind: String::new(),
        extra_request_at: None,
    };
    let plan = LoadPlan {
        model: Model::new("m"),
        profiles: vec![step(rate, 500, 3_000), step(rate / 10.0, 30_000, 60_000)],
        duration: saturating_seconds(seconds),
        answer_tokens: 200,
        deadline: Duration::from_secs(60),
        seed: 5,
    };
    run_load(&http, &seeds, &plan, |_| {}).await
}

fn assert_sound(report: &LoadSummary) {
    assert!(report.is_sound(), "{report}");
    assert!(report.whole > 0, "{report}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_and_paused_nodes_lose_no_answer() {
    let mut system = open_system(3, 2).await;
    wait_until_ready(&system).await;
    let paused = system.nodes.remove(2);
    let killed = system.nodes.remove(1);
    let pause = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        killed.signal("-KILL");
        tokio::time::sleep(Duration::from_secs(1)).await;
        paused.signal("-STOP");
        tokio::time::sleep(Duration::from_secs(10)).await;
        paused.signal("-CONT");
    };
    // Callers start with the address of the surviving node and learn the other nodes from it.
    let (report, ()) = tokio::join!(load(&system, 5.0, 6.0), pause);
    assert_sound(&report);
    let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
    while system.engines.iter().any(|e| e.used_tokens() > 0) {
        assert!(
            tokio::time::Instant::now() < deadline,
            "memory did not come back"
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_terminated_node_completes_its_answers_first() {
    let mut system = open_system(2, 2).await;
    wait_until_ready(&system).await;
    let mut stopping = system.nodes.remove(1);
    stopping.signal("-TERM");
    assert_sound(&load(&system, 2.0, 4.0).await);
    let status = stopping.child.wait().expect("the node ends");
    assert_eq!(status.code(), Some(0));
}
