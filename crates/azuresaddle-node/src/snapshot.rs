//! Immutable state that the control task publishes to the traffic threads.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use azuresaddle_core::host_list::{Host, HostKind, HostList};
use azuresaddle_core::prelude::*;
use azuresaddle_sched::PoolDigest;
use azuresaddle_store::{OwnerRecord, RulesRecord};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of targets in a pool.
const MAX_POOL_TARGETS: usize = 32;

/// The current snapshot, shared between the control task and traffic.
pub type SharedSnapshot = Arc<ArcSwap<Snapshot>>;

/// State that traffic needs to handle requests; replaced as a whole.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The rules in force.
    pub rules: Arc<RulesRecord>,
    /// The hosts of the platform's list.
    pub hosts: Arc<HostIndex>,
    /// Owners of pools.
    pub owners: Arc<HashMap<PoolId, OwnerRecord>>,
    /// Latest digests of pools.
    pub digests: Arc<Vec<ReceivedDigest>>,
    /// Whether new requests are accepted.
    pub admission: Admission,
    /// Whether the store has replied recently.
    pub store_reachable: bool,
    /// Entry hosts that are about to stop, as reported by their own nodes.
    pub stopping_nodes: Arc<Vec<HostName>>,
}

/// A digest with the time of its receipt.
#[derive(Clone, Debug)]
pub struct ReceivedDigest {
    /// The digest.
    pub digest: PoolDigest,
    /// When it was received.
    pub received_at: Instant,
}

/// Whether a node accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// New requests are accepted.
    Open,
    /// No rules are known yet.
    NoRules,
    /// Neither the store nor a majority of the nodes can be reached, so the rules may be outdated.
    CutOff,
    /// The node is about to stop and its address is no longer returned to callers.
    Stopping,
}

impl Snapshot {
    /// The snapshot of a node that has just started.
    pub fn empty() -> Self {
        Self {
            rules: Arc::default(),
            hosts: Arc::default(),
            owners: Arc::default(),
            digests: Arc::default(),
            admission: Admission::NoRules,
            store_reachable: false,
            stopping_nodes: Arc::default(),
        }
    }
}

/// A model engine in the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineHost {
    /// Address for requests.
    pub addr: SocketAddr,
    /// The pool it belongs to.
    pub pool: PoolId,
    /// KV-cache capacity, in tokens.
    pub memory_tokens: u64,
    /// Whether the host is about to be removed.
    pub leaving: bool,
}

/// An entry host in the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryHost {
    /// Name.
    pub name: HostName,
    /// Address for callers.
    pub addr: SocketAddr,
    /// Address for other nodes.
    pub peer_addr: SocketAddr,
    /// Failure domain.
    pub domain: FailureDomain,
    /// Whether the host is about to be removed.
    pub leaving: bool,
}

/// A host of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceHost {
    /// Name.
    pub name: HostName,
    /// Address for requests.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: FailureDomain,
    /// Whether the host is about to be removed.
    pub leaving: bool,
}

/// The host list, by kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostIndex {
    /// Entry hosts, by name.
    pub entries: Vec<EntryHost>,
    /// Engines, by name.
    pub engines: BTreeMap<HostName, EngineHost>,
    /// Engines of each pool.
    pub pools: BTreeMap<PoolId, Vec<HostName>>,
    /// Hosts of each plain service.
    pub services: BTreeMap<Model, Vec<ServiceHost>>,
}

impl HostIndex {
    /// Groups a host list by kind and assigns the engines to pools.
    pub fn new(list: HostList) -> Self {
        let mut index = Self::default();
        let mut groups: BTreeMap<(Model, FailureDomain), Vec<Host>> = BTreeMap::new();
        for host in list.hosts {
            match &host.kind {
                HostKind::Entry { peer_addr } => index.entries.push(EntryHost {
                    peer_addr: *peer_addr,
                    name: host.name,
                    addr: host.addr,
                    domain: host.domain,
                    leaving: host.leaving,
                }),
                HostKind::Engine { model, .. } => groups
                    .entry((model.clone(), host.domain.clone()))
                    .or_default()
                    .push(host),
                HostKind::Service { service } => {
                    index
                        .services
                        .entry(service.clone())
                        .or_default()
                        .push(ServiceHost {
                            name: host.name,
                            addr: host.addr,
                            domain: host.domain,
                            leaving: host.leaving,
                        });
                }
            }
        }
        for ((model, domain), hosts) in groups {
            index.add_engines(&model, &domain, hosts);
        }
        index
    }

    /// Adds the engines of one model in one failure domain and splits them into pools.
    fn add_engines(&mut self, model: &Model, domain: &FailureDomain, hosts: Vec<Host>) {
        let shards = hosts.len().div_ceil(MAX_POOL_TARGETS) as u16;
        for host in hosts {
            let HostKind::Engine { memory_tokens, .. } = host.kind else {
                continue;
            };
            let pool = PoolId {
                model: model.clone(),
                domain: domain.clone(),
                shard: shard_of(&host.name, shards),
            };
            self.pools
                .entry(pool.clone())
                .or_default()
                .push(host.name.clone());
            let engine = EngineHost {
                addr: host.addr,
                pool,
                memory_tokens,
                leaving: host.leaving,
            };
            self.engines.insert(host.name, engine);
        }
    }

    /// Pools that serve a model.
    pub fn pools_of(&self, model: &Model) -> impl Iterator<Item = &PoolId> {
        self.pools.keys().filter(move |pool| pool.model == *model)
    }

    /// Total memory of a pool's engines, in tokens.
    pub fn pool_memory(&self, pool: &PoolId) -> u64 {
        let names = self.pools.get(pool).into_iter().flatten();
        names
            .filter_map(|name| self.engines.get(name))
            .map(|engine| engine.memory_tokens)
            .sum()
    }
}

/// Chooses the shard of a host by rendezvous hashing, so that most hosts keep their shard when the
/// number of shards changes.
fn shard_of(name: &HostName, shards: u16) -> u16 {
    let score = |shard: &u16| xxh3_64_with_seed(name.as_str().as_bytes(), u64::from(*shard));
    (0..shards).max_by_key(score).unwrap_or(0)
}
