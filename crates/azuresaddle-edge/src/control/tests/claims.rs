//! Tests of what a node does when it claims ownership.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::deployment::{Configuration, NodeSettings, RequestLimits};
use azuresaddle_core::prelude::*;
use azuresaddle_core::version::RulesVersion;
use azuresaddle_platform::StorePosition;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::members::heartbeat;
use super::memory_network::{MemoryNetwork, memory_network};
use crate::control::actor::{Control, ControlParts};
use crate::control::read_plan::{FirstListing, ReadPlan};
use crate::metrics::Metrics;
use crate::quarantine::SharedQuarantine;
use crate::snapshot::{Snapshot, Snapshots};
use crate::targets::SendObservations;
use crate::tests::settings::node_settings;

const OWN_IP: Ipv4Addr = Ipv4Addr::LOCALHOST;

const OWN_INCARNATION: u64 = 7;

/// Another node of the same host.
const OWNER_IP: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

/// Control of a node that has a configuration, and its snapshots.
async fn control() -> (Control<MemoryNetwork>, Snapshots) {
    let socket = UdpSocket::bind((OWN_IP, 0)).await.expect("a socket");
    let port = socket.local_addr().expect("an address").port();
    let (net, _) = memory_network(SocketAddr::from((OWN_IP, 1)));
    let snapshots = Snapshots::new(Snapshot::empty());
    let metrics = Metrics::new();
    // Nothing sends on these channels.
    let (crashes, crashes_observed) = mpsc::channel(1);
    let (_, unresponsive_owners) = mpsc::channel(1);
    let (_, signals_observed) = mpsc::channel(1);
    let writes = (mpsc::channel(1).0, mpsc::channel(1).0);
    let parts = ControlParts {
        settings: NodeSettings {
            heartbeat_port: port,
            ..node_settings()
        },
        net,
        spawner: Spawner::current(),
        incarnation: OWN_INCARNATION,
        started_ms: 0,
        socket,
        snapshots: snapshots.clone(),
        leaving: CancellationToken::new(),
        unresponsive_owners,
        quarantine: SharedQuarantine::new(crashes, metrics.clone()),
        crashes_observed,
        signals_observed,
        observations: Arc::new(SendObservations::new(false)),
        metrics,
    };
    let read_plan = watch::Sender::new(ReadPlan {
        watch_interval: None,
        first_listing: FirstListing::Own,
        position: StorePosition::default(),
    });
    let probe_enabled = watch::Sender::new(false);
    let mut control = Control::new(parts, read_plan, probe_enabled, writes);
    let configuration = Configuration::new(
        RulesVersion(1),
        RequestLimits::default(),
        Vec::new(),
        Vec::new(),
        Vec::new(),
    );
    control.configuration = Some(Arc::new(configuration));
    (control, snapshots)
}

/// Guards against a new owner that redirects the first requests of nodes that know of it to the one it replaced.
#[tokio::test(start_paused = true)]
async fn a_node_acts_as_the_owner_before_others_know_of_its_claim() {
    let (mut control, snapshots) = control().await;
    let mut owner = heartbeat(1, 1);
    owner.from.ip = OWNER_IP;
    owner.from.term = 1;
    control
        .members
        .on_heartbeat(Instant::now(), OWNER_IP, &owner);
    control.publish_and_gossip().await;
    let incarnation = owner.from.incarnation;
    assert_eq!(snapshots.load().owner, incarnation);
    assert!(control.on_unresponsive_owner(incarnation).await);
    assert_eq!(snapshots.load().owner, OWN_INCARNATION);
}

/// Guards against traffic that divides the retry budget by live nodes only.
#[tokio::test(start_paused = true)]
async fn a_silent_node_is_published_as_possibly_running() {
    let (mut control, snapshots) = control().await;
    let mut other = heartbeat(1, 1);
    other.from.ip = OWNER_IP;
    let members = &mut control.members;
    members.on_heartbeat(Instant::now(), OWNER_IP, &other);
    tokio::time::advance(Duration::from_secs(1)).await;
    control.publish_and_gossip().await;
    let snapshot = snapshots.load();
    assert_eq!((snapshot.nodes.len(), snapshot.running_nodes), (1, 2));
}
