//! Starts, kills and restarts the components of a cluster.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use anyhow::{Context, Result};
use azuresaddle_core::host_list::{Host, HostKind};
use azuresaddle_core::http::HttpClient;
use azuresaddle_core::prelude::*;
use azuresaddle_node::Node;
use azuresaddle_node::settings::{NodeAddrs, Settings};
use tokio::runtime::Handle;

use super::networks::HostNetworks;
use super::spec::{ClusterSpec, EngineSpec, HostSpec, ServiceSpec};
use crate::engine::EngineServer;
use crate::hosts::HostListServer;
use crate::service::ServiceServer;
use crate::store::StoreServer;

/// A running engine with the data needed to restart it.
pub struct EngineHost {
    /// The engine.
    pub server: EngineServer,
    /// Runs its tasks; killing the spawner ends them.
    pub spawner: Spawner,
    spec: EngineSpec,
    incarnation: Incarnation,
}

/// A running node with the data needed to restart it.
pub struct NodeHost {
    /// The node.
    pub node: Node,
    /// Runs its tasks; killing the spawner ends them.
    pub spawner: Spawner,
    spec: HostSpec,
}

/// A running cluster.
pub struct Cluster<P: HostNetworks> {
    /// The hosts' networks and addresses.
    pub networks: P,
    /// The key-value service.
    pub store: StoreServer,
    /// The host list.
    pub hosts: HostListServer,
    /// Engines by name.
    pub engines: BTreeMap<HostName, EngineHost>,
    /// Plain services by name.
    pub services: BTreeMap<HostName, ServiceServer>,
    /// Running nodes by name, without killed ones.
    pub nodes: BTreeMap<HostName, NodeHost>,
    adjust_settings: fn(&mut Settings),
}

impl<P: HostNetworks> Cluster<P> {
    /// Starts all components; each node's settings are passed through `adjust_settings` first.
    ///
    /// # Errors
    /// Returns an error if a component can't be started.
    pub async fn open(
        networks: P,
        spec: ClusterSpec,
        adjust_settings: fn(&mut Settings),
    ) -> Result<Self> {
        let (net, ip) = networks.host_network("store");
        let store = StoreServer::bind(&net, any_port(ip), &Spawner::current()).await?;
        let (net, ip) = networks.host_network("hosts");
        let lag = spec.host_list_lag;
        let hosts =
            HostListServer::bind(&net, any_port(ip), &Spawner::current(), Vec::new(), lag).await?;
        let mut cluster = Self {
            networks,
            store,
            hosts,
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            nodes: BTreeMap::new(),
            adjust_settings,
        };
        for engine in spec.engines {
            cluster.start_engine(engine, Incarnation(1), None).await?;
        }
        for service in spec.services {
            cluster.start_service(service).await?;
        }
        for node in spec.nodes {
            cluster.start_node(node).await?;
        }
        Ok(cluster)
    }

    async fn start_engine(
        &mut self,
        spec: EngineSpec,
        incarnation: Incarnation,
        addr: Option<SocketAddr>,
    ) -> Result<()> {
        let (net, ip) = self.networks.host_network(spec.name.as_str());
        let spawner = Spawner::current();
        let addr = addr.unwrap_or_else(|| any_port(ip));
        let options = spec.options.clone();
        let server = EngineServer::bind(&net, addr, &spawner, options, incarnation)
            .await
            .with_context(|| format!("engine {} at {addr}", spec.name))?;
        self.hosts.put(Host {
            name: spec.name.clone(),
            addr: server.addr(),
            domain: spec.domain.clone(),
            leaving: false,
            kind: HostKind::Engine {
                model: spec.model.clone(),
                memory_tokens: spec.options.memory_tokens,
                checks_fencing: spec.options.checks_fencing,
            },
        });
        let name = spec.name.clone();
        let host = EngineHost {
            server,
            spawner,
            spec,
            incarnation,
        };
        self.engines.insert(name, host);
        Ok(())
    }

    async fn start_service(&mut self, spec: ServiceSpec) -> Result<()> {
        let (net, ip) = self.networks.host_network(spec.name.as_str());
        let server = ServiceServer::bind(&net, any_port(ip), &Spawner::current()).await?;
        self.hosts.put(Host {
            name: spec.name.clone(),
            addr: server.addr(),
            domain: spec.domain,
            leaving: false,
            kind: HostKind::Service {
                service: spec.service,
            },
        });
        self.services.insert(spec.name, server);
        Ok(())
    }

    async fn start_node(&mut self, spec: HostSpec) -> Result<()> {
        let (net, ip) = self.networks.host_network(spec.name.as_str());
        let addrs = NodeAddrs {
            listen: any_port(ip),
            peer_listen: any_port(ip),
            admin_listen: any_port(ip),
            store: self.store.addr(),
            host_list: self.hosts.addr(),
        };
        let mut settings = Settings::new(spec.name.as_str(), spec.domain.as_str(), addrs);
        // Nodes require an admin token on addresses other than loopback, and the in-memory network
        // has no loopback address.
        settings.admin_token = Some(ADMIN_TOKEN.to_owned());
        (self.adjust_settings)(&mut settings);
        let spawner = Spawner::current();
        let node = Node::open(settings, net, spawner.clone(), Handle::current())
            .await
            .with_context(|| format!("node {}", spec.name))?;
        self.hosts.put(Host {
            name: spec.name.clone(),
            addr: node.addr(),
            domain: spec.domain.clone(),
            leaving: false,
            kind: HostKind::Entry {
                peer_addr: node.peer_addr(),
            },
        });
        let host = NodeHost {
            node,
            spawner,
            spec,
        };
        self.nodes.insert(host.spec.name.clone(), host);
        Ok(())
    }

    /// Kills a node as `kill -9` would; the host list is not updated.
    pub fn kill_node(&mut self, name: &HostName) -> Option<HostSpec> {
        let host = self.nodes.remove(name)?;
        host.spawner.kill();
        Some(host.spec)
    }

    /// Starts a node on new ports and without state from an earlier run.
    ///
    /// # Errors
    /// Returns an error if it can't be started.
    pub async fn restart_node(&mut self, spec: HostSpec) -> Result<()> {
        self.start_node(spec).await
    }

    /// Kills an engine; its memory is lost.
    pub fn kill_engine(&self, name: &HostName) {
        if let Some(host) = self.engines.get(name) {
            host.spawner.kill();
        }
    }

    /// Starts a killed engine again, empty and with a new incarnation.
    ///
    /// # Errors
    /// Returns an error if there is no engine of that name or it can't be started.
    pub async fn restart_engine(&mut self, name: &HostName) -> Result<()> {
        let host = self.engines.remove(name).context("no such engine")?;
        host.spawner.kill();
        // Lets the runtime drop the killed tasks, which closes the old listener.
        tokio::task::yield_now().await;
        let addr = host.server.addr();
        let incarnation = host.incarnation.next();
        self.start_engine(host.spec, incarnation, Some(addr)).await
    }

    /// Addresses at which the nodes accept callers.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.nodes.values().map(|host| host.node.addr()).collect()
    }

    /// An HTTP client that runs on the named host.
    pub fn client(&self, host: &str) -> HttpClient<P::Net> {
        let (net, _) = self.networks.host_network(host);
        HttpClient::new(net, Spawner::current())
    }

    /// Memory in use on all engines, in tokens.
    pub fn used_tokens(&self) -> u64 {
        self.engines.values().map(|e| e.server.used_tokens()).sum()
    }

    /// Whether every node knows an owner of every pool and sees all of its targets as usable.
    pub fn is_settled(&self) -> bool {
        self.nodes.values().all(|host| {
            let snapshot = host.node.snapshot();
            let pools = snapshot.hosts.pools.iter();
            let mut ready = pools.map(|(pool, targets)| {
                let seen = snapshot.digests.iter().find(|d| d.digest.pool == *pool);
                let usable = seen.map_or(0, |d| d.digest.usable_targets as usize);
                snapshot.owners.contains_key(pool) && usable == targets.len()
            });
            !snapshot.hosts.pools.is_empty() && ready.all(|is_ready| is_ready)
        })
    }
}

/// Bearer token for the admin interface of a cluster's nodes.
pub const ADMIN_TOKEN: &str = "stand-in-token";

fn any_port(ip: IpAddr) -> SocketAddr {
    SocketAddr::new(ip, 0)
}
