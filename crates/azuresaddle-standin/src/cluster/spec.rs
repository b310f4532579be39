//! Specification of a cluster.

use std::time::Duration;

use azuresaddle_core::prelude::*;

use crate::engine::EngineOptions;

/// A host that runs a node.
#[derive(Clone, Debug)]
pub struct HostSpec {
    /// Name.
    pub name: HostName,
    /// Failure domain.
    pub domain: FailureDomain,
}

/// A host that runs an engine.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Name.
    pub name: HostName,
    /// Failure domain.
    pub domain: FailureDomain,
    /// The model it serves.
    pub model: Model,
    /// Size and speed.
    pub options: EngineOptions,
}

/// A host that runs a plain service.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Name.
    pub name: HostName,
    /// Failure domain.
    pub domain: FailureDomain,
    /// Name of the service.
    pub service: Model,
}

/// All hosts of a cluster.
#[derive(Clone, Debug, Default)]
pub struct ClusterSpec {
    /// Hosts that run nodes.
    pub nodes: Vec<HostSpec>,
    /// Hosts that run engines.
    pub engines: Vec<EngineSpec>,
    /// Hosts that run plain services.
    pub services: Vec<ServiceSpec>,
    /// Time after which a change becomes visible in the host list.
    pub host_list_lag: Duration,
}

impl ClusterSpec {
    /// Identical hosts in one failure domain: nodes `n1`…, engines `e1`… of the model `m`, and plain
    /// service hosts `s1`… of the service `svc`.
    pub fn uniform(nodes: usize, engines: usize, services: usize, options: &EngineOptions) -> Self {
        let domain = FailureDomain::new("d1");
        let name = |kind: &str, i: usize| HostName::new(format!("{kind}{}", i + 1));
        Self {
            nodes: (0..nodes)
                .map(|i| HostSpec {
                    name: name("n", i),
                    domain: domain.clone(),
                })
                .collect(),
            engines: (0..engines)
                .map(|i| EngineSpec {
                    name: name("e", i),
                    domain: domain.clone(),
                    model: Model::new("m"),
                    options: options.clone(),
                })
                .collect(),
            services: (0..services)
                .map(|i| ServiceSpec {
                    name: name("s", i),
                    domain: domain.clone(),
                    service: Model::new("svc"),
                })
                .collect(),
            host_list_lag: Duration::ZERO,
        }
    }

    /// Spreads the hosts of each kind over failure domains `d1`… in round-robin order.
    pub fn spread_over_domains(mut self, count: usize) -> Self {
        let domain = |i: usize| FailureDomain::new(format!("d{}", i % count.max(1) + 1));
        for (i, node) in self.nodes.iter_mut().enumerate() {
            node.domain = domain(i);
        }
        for (i, engine) in self.engines.iter_mut().enumerate() {
            engine.domain = domain(i);
        }
        for (i, service) in self.services.iter_mut().enumerate() {
            service.domain = domain(i);
        }
        self
    }
}
