//! Listeners between nodes whose accepts fail.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::passes::PassOptions;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::control::tests::memory_network::{MemoryListener, MemoryNetwork, memory_network};
use crate::forward::InFlightAnswers;
use crate::metrics::Metrics;
use crate::peer::{PeerClients, serve_peers};
use crate::placement::Owner;
use crate::snapshot::{Snapshot, Snapshots};
use crate::targets::SharedPaths;
use crate::tunnel::{TunnelError, TunnelServer, open_tunnel, serve_tunnels};

const ADDR: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

const LINK_BYTES_PER_S: f64 = 1e6;

/// A network whose listener fails a few times before it accepts.
fn failing_network() -> (MemoryNetwork, MemoryListener) {
    let (net, mut listener) = memory_network(ADDR);
    listener.fail_accepts(3);
    (net, listener)
}

/// Guards against a node that answers no other node for good once an accept has failed.
#[tokio::test(start_paused = true)]
async fn calls_are_answered_after_an_accept_has_failed() {
    let (net, listener) = failing_network();
    let (spawner, snapshots) = (Spawner::current(), Snapshots::new(Snapshot::empty()));
    let (probes, _) = mpsc::channel(1);
    let metrics = Metrics::new();
    let options = PassOptions::default();
    let owner = Owner::spawn(&spawner, &snapshots, 1, options, probes, &metrics);
    serve_peers(listener, &spawner, owner, snapshots, 1, LINK_BYTES_PER_S);
    let peers = PeerClients::new(net, spawner);
    let state = peers
        .call(ADDR, Duration::from_secs(1), async |client, cx| {
            client.state_since(cx, 0, None).await
        })
        .await;
    assert!(state.is_ok(), "{state:?}");
}

/// Guards against a node that provides no tunnels for good once an accept has failed.
#[tokio::test(start_paused = true)]
async fn tunnels_are_provided_after_an_accept_has_failed() {
    let (net, listener) = failing_network();
    let metrics = Metrics::new();
    let server = TunnelServer {
        net: net.clone(),
        snapshots: Snapshots::new(Snapshot::empty()),
        paths: SharedPaths::new(metrics.clone()),
        metrics,
        in_flight: InFlightAnswers::default(),
        leaving: CancellationToken::new(),
    };
    serve_tunnels(listener, &Spawner::current(), server);
    let target = HostName::new("t1");
    let opened = open_tunnel(&net, ADDR, &target).await;
    // The target is unknown, which only a node that answers says.
    assert!(matches!(opened, Err(TunnelError::Unavailable)));
}
