//! Snapshots of the configuration, the targets and the nodes, which control publishes to traffic.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use azuresaddle_core::deployment::{Configuration, RateLimit, TargetEntry};
use azuresaddle_core::prelude::*;
use azuresaddle_platform::StorePosition;
use azuresaddle_sched::addresses::{AddressCandidate, LoadLevel, NodeRole};
use azuresaddle_sched::target_health::TargetVerdicts;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::control::{DomainDrain, TargetRecord};
use crate::control_progress::ControlProgress;

/// Value of [`Snapshot::owner`] if no owner is known yet; no process has this incarnation.
pub(crate) const NO_OWNER: u64 = 0;

/// A node that answers heartbeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LiveNode {
    pub(crate) incarnation: u64,
    /// Address for callers.
    pub(crate) callers_addr: SocketAddr,
    /// Address for calls between nodes.
    pub(crate) peer_addr: SocketAddr,
    /// Whether callers may be given its address.
    pub(crate) takes_callers: bool,
    /// Hash of its failure domain's name.
    pub(crate) domain: u16,
    /// CPU share of its host, in thousandths of a core.
    pub(crate) cpu_milli: u32,
    /// Whether it watches the store and receives answers from it.
    pub(crate) is_watching: bool,
    /// How much of its host it uses.
    pub(crate) load: LoadLevel,
}

impl LiveNode {
    fn role(&self, owner: u64) -> NodeRole {
        if self.incarnation == owner {
            NodeRole::Owner
        } else if self.is_watching {
            NodeRole::Watcher
        } else {
            NodeRole::Plain
        }
    }
}

/// Returns the nodes whose addresses callers may be given.
pub(crate) fn address_candidates(nodes: &[LiveNode], owner: u64) -> Vec<AddressCandidate> {
    let offered = nodes.iter().filter(|n| n.takes_callers);
    let candidates = offered.map(|n| AddressCandidate {
        incarnation: n.incarnation,
        addr: n.callers_addr,
        domain: n.domain,
        cpu_milli: n.cpu_milli,
        role: n.role(owner),
        load: n.load,
    });
    candidates.collect()
}

/// Targets that accept new work, by service and by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetSet {
    by_service: HashMap<Arc<str>, Vec<Arc<TargetEntry>>>,
    by_id: HashMap<HostName, Arc<TargetEntry>>,
}

impl TargetSet {
    pub(crate) fn new(targets: impl Iterator<Item = Arc<TargetEntry>>) -> Self {
        let mut set = Self::default();
        for target in targets {
            let service = Arc::clone(&target.service);
            set.by_id.insert(target.id.clone(), Arc::clone(&target));
            set.by_service.entry(service).or_default().push(target);
        }
        for targets in set.by_service.values_mut() {
            targets.sort_by(|a, b| a.id.cmp(&b.id));
        }
        set
    }

    pub(crate) fn of_service(&self, service: &str) -> &[Arc<TargetEntry>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    pub(crate) fn get(&self, id: &HostName) -> Option<&Arc<TargetEntry>> {
        self.by_id.get(id)
    }

    /// Whether a later start of the target is known.
    pub(crate) fn has_restarted(&self, target: &TargetEntry) -> bool {
        let known = self.get(&target.id);
        known.is_some_and(|k| k.started > target.started)
    }

    /// Targets of an earlier set that have restarted since.
    pub(crate) fn restarted_since(&self, before: &Self) -> Vec<HostName> {
        let all = before.by_id.values();
        let restarted = all.filter(|t| self.has_restarted(t));
        restarted.map(|t| t.id.clone()).collect()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Arc<TargetEntry>> {
        self.by_id.values()
    }

    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }
}

/// State of the platform as control knows it at one moment.
#[derive(Clone, Debug)]
pub(crate) struct Snapshot {
    /// The configuration in force; `None` until one is known.
    pub(crate) configuration: Option<Arc<Configuration>>,
    /// The configuration in its original form, for other nodes.
    pub(crate) raw_configuration: Option<Arc<Vec<u8>>>,
    pub(crate) targets: Arc<TargetSet>,
    /// Rate limits of targets, shared by all nodes.
    pub(crate) rate_limits: Arc<HashMap<HostName, RateLimit>>,
    /// Which plain targets this node sends to, decided from what all nodes observe.
    pub(crate) target_verdicts: Arc<TargetVerdicts>,
    /// All records of targets, for other nodes.
    pub(crate) target_records: Arc<Vec<Arc<TargetRecord>>>,
    /// All records of drained failure domains, for other nodes.
    pub(crate) domain_drains: Arc<Vec<DomainDrain>>,
    /// Store position of the latest known change of targets or drained failure domains; the default
    /// until all of them are known.
    pub(crate) target_position: StorePosition,
    /// Live nodes, including this one.
    pub(crate) nodes: Arc<Vec<LiveNode>>,
    /// Number of nodes that may be running, including this one and those that it cannot reach.
    pub(crate) running_nodes: usize,
    /// Incarnation of the owner, the node that places streams; [`NO_OWNER`] if unknown.
    pub(crate) owner: u64,
    /// Whether this node is stopping.
    pub(crate) is_leaving: bool,
}

impl Snapshot {
    /// A snapshot without configuration, targets, nodes and owner.
    pub(crate) fn empty() -> Self {
        Self {
            configuration: None,
            raw_configuration: None,
            targets: Arc::new(TargetSet::default()),
            rate_limits: Arc::default(),
            target_verdicts: Arc::default(),
            target_records: Arc::default(),
            domain_drains: Arc::default(),
            target_position: StorePosition::default(),
            nodes: Arc::default(),
            running_nodes: 1,
            owner: NO_OWNER,
            is_leaving: false,
        }
    }

    pub(crate) fn node(&self, incarnation: u64) -> Option<&LiveNode> {
        self.nodes.iter().find(|n| n.incarnation == incarnation)
    }
}

/// The latest snapshot, with notification of changes; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct Snapshots {
    latest: Arc<ArcSwap<Snapshot>>,
    version: Arc<watch::Sender<u64>>,
    owner: Arc<watch::Sender<u64>>,
    progress: Arc<ControlProgress>,
}

impl Snapshots {
    pub(crate) fn new(first: Snapshot) -> Self {
        let owner = first.owner;
        Self {
            latest: Arc::new(ArcSwap::from_pointee(first)),
            version: Arc::new(watch::Sender::new(0)),
            owner: Arc::new(watch::Sender::new(owner)),
            progress: Arc::new(ControlProgress::new(Instant::now())),
        }
    }

    pub(crate) fn load(&self) -> Arc<Snapshot> {
        self.latest.load_full()
    }

    pub(crate) fn publish(&self, snapshot: Snapshot) {
        let owner = snapshot.owner;
        self.latest.store(Arc::new(snapshot));
        self.version.send_modify(|v| *v += 1);
        self.owner.send_if_modified(|o| {
            let changed = *o != owner;
            *o = owner;
            changed
        });
    }

    /// The progress of control, which publishes the snapshots.
    pub(crate) fn progress(&self) -> &ControlProgress {
        &self.progress
    }

    /// Notifies of every new snapshot.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Notifies of changes of the owner; the value is its incarnation.
    pub(crate) fn subscribe_owner(&self) -> watch::Receiver<u64> {
        self.owner.subscribe()
    }
}
