//! Nodes that place the streams of one service on the same engines, without control: a test publishes what each knows.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::deployment::{Configuration, RequestLimits, Service, TargetEntry};
use azuresaddle_core::prelude::*;
use azuresaddle_core::version::RulesVersion;
use azuresaddle_sched::passes::{DEFAULT_PRIORITY, PassOptions};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::dispatches::engine;
use super::peer_network::{PeerNetwork, peer_addr, peer_network};
use crate::control::tests::memory_network::MemoryListener;
use crate::metrics::Metrics;
use crate::peer::{PeerClients, serve_peers};
use crate::placement::{
    Owner, PlaceRequest, PlacementClient, PlacementClientParts, PlacementGuard,
};
use crate::snapshot::{LiveNode, Snapshot, Snapshots, TargetSet};
use crate::tests::snapshots::{live_node, ready_target};

/// Bandwidth of a node, in bytes per second.
const LINK_BYTES_PER_S: f64 = 2_500_000.0;

/// Time after which the callers of a test give up.
const DEADLINE: Duration = Duration::from_secs(15);

/// One node of a [`TestFleet`].
pub(super) struct TestNode {
    pub(super) spawner: Spawner,
    pub(super) owner: Arc<Owner>,
    pub(super) placement: Arc<PlacementClient<PeerNetwork>>,
    pub(super) unresponsive_owners: mpsc::Receiver<u64>,
    snapshots: Snapshots,
    net: PeerNetwork,
}

/// Nodes with the incarnations 1, 2 and so on.
pub(super) struct TestFleet {
    nodes: Vec<TestNode>,
    /// Number of engines, each of which has one slot.
    engines: usize,
}

impl TestFleet {
    /// Starts the nodes; `owners` says which node each of them takes for the owner.
    pub(super) fn open(owners: &[u64], engines: usize) -> Self {
        let count = owners.len() as u64;
        let (net, listeners) = peer_network(count);
        let configuration = Arc::new(configuration());
        let live: Vec<u64> = (1..=count).collect();
        let nodes = owners.iter().zip(listeners).zip(1..);
        let nodes = nodes.map(|((owner, listener), node)| {
            let snapshot = snapshot(&live, *owner, engines, &configuration);
            TestNode::open(node, net.of_node(), listener, snapshot)
        });
        Self {
            nodes: nodes.collect(),
            engines,
        }
    }

    pub(super) fn node(&mut self, node: u64) -> &mut TestNode {
        &mut self.nodes[node as usize - 1]
    }

    /// Makes a node take another one for the owner.
    pub(super) fn set_owner(&mut self, node: u64, owner: u64) {
        let live: Vec<u64> = (1..=self.nodes.len() as u64).collect();
        self.publish(node, owner, &live);
    }

    /// Makes a node take only these nodes for live.
    pub(super) fn set_live(&mut self, node: u64, live: &[u64]) {
        let owner = self.node(node).snapshots.load().owner;
        self.publish(node, owner, live);
    }

    /// Makes another node reachable for a node's new connections or not.
    pub(super) fn set_reachable(&mut self, node: u64, other: u64, is_reachable: bool) {
        let net = &self.node(node).net;
        net.set_reachable(peer_addr(other), is_reachable);
    }

    /// Makes a node take only these nodes for live, and one of them for the owner.
    pub(super) fn publish(&mut self, node: u64, owner: u64, live: &[u64]) {
        let engines = self.engines;
        let snapshots = &self.node(node).snapshots;
        let configuration = snapshots.load().configuration.clone();
        let configuration = configuration.expect("a configuration");
        snapshots.publish(snapshot(live, owner, engines, &configuration));
    }
}

impl TestNode {
    fn open(node: u64, net: PeerNetwork, listener: MemoryListener, first: Snapshot) -> Self {
        let spawner = Spawner::current();
        let snapshots = Snapshots::new(first);
        // No test of this kind probes engines.
        let (probes, _) = mpsc::channel(1);
        let (unresponsive_tx, unresponsive_owners) = mpsc::channel(16);
        let options = PassOptions {
            handover_wait: false,
            ..PassOptions::default()
        };
        let metrics = Metrics::new();
        let owner = Owner::spawn(&spawner, &snapshots, node, options, probes, &metrics);
        let served = Arc::clone(&owner);
        let known = snapshots.clone();
        serve_peers(listener, &spawner, served, known, node, LINK_BYTES_PER_S);
        let placement = PlacementClient::spawn(
            &spawner,
            PlacementClientParts {
                node,
                domain: FailureDomain::new("d1"),
                sends_priority: false,
                owner: Arc::clone(&owner),
                peers: PeerClients::new(net.clone(), spawner.clone()),
                snapshots: snapshots.clone(),
                unresponsive_owners: unresponsive_tx,
            },
        );
        Self {
            spawner,
            owner,
            placement,
            unresponsive_owners,
            snapshots,
            net,
        }
    }

    /// Number of requests that wait at this node for a decision.
    pub(super) fn waiting(&self) -> usize {
        self.owner.lock().pools["svc"].waiting()
    }

    /// Number of streams that this node knows as placed.
    pub(super) fn running(&self) -> usize {
        self.owner.lock().pools["svc"].running()
    }

    /// Starts the placement of a stream.
    pub(super) fn place(&self) -> tokio::task::JoinHandle<Placed> {
        let placement = Arc::clone(&self.placement);
        tokio::spawn(async move { placement.place(place_request()).await })
    }
}

/// Result of [`PlacementClient::place`].
pub(super) type Placed = Result<PlacementGuard<PeerNetwork>, Duration>;

fn place_request() -> PlaceRequest {
    let now = Instant::now();
    PlaceRequest {
        service: Arc::from("svc"),
        account: ClientAccount::new("a"),
        prompt_tokens: 4000,
        answer_tokens: 800,
        first_event_by: now + Duration::from_secs(5),
        pause: Duration::from_millis(250),
        give_up_at: now + DEADLINE,
        deadline: now + DEADLINE,
        exclude: Vec::new(),
        suspect: None,
        priority: DEFAULT_PRIORITY,
    }
}

fn snapshot(
    live: &[u64],
    owner: u64,
    engines: usize,
    configuration: &Arc<Configuration>,
) -> Snapshot {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let node = |incarnation| LiveNode {
        peer_addr: peer_addr(incarnation),
        ..live_node(incarnation)
    };
    let target = |n| TargetEntry {
        slots: 1,
        ..ready_target(&format!("e{n}"), addr)
    };
    let targets = (1..=engines).map(|n| Arc::new(target(n)));
    Snapshot {
        configuration: Some(Arc::clone(configuration)),
        targets: Arc::new(TargetSet::new(targets)),
        nodes: Arc::new(live.iter().copied().map(node).collect()),
        running_nodes: live.len(),
        owner,
        ..Snapshot::empty()
    }
}

fn configuration() -> Configuration {
    let service = Service {
        name: Arc::from("svc"),
        health_path: "/healthz".to_owned(),
        max_connections: 10_000,
        cold_limit: None,
        engine: Some(engine()),
    };
    Configuration::new(
        RulesVersion(1),
        RequestLimits::default(),
        Vec::new(),
        vec![service],
        Vec::new(),
    )
}
