//! Operations on hosts: kill, restart, freeze, cut off, and tell to leave.

use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::{LeavingTarget, World};

impl World {
    pub(in crate::scenario) fn kill(&mut self, host: &str) {
        let name = HostName::new(host);
        match self.cluster.kill_node(&name) {
            Some(spec) => {
                self.killed.insert(host.to_owned(), spec);
            }
            None => self.cluster.kill_engine(&name),
        }
    }

    pub(in crate::scenario) async fn restart(&mut self, host: &str) {
        if let Some(spec) = self.killed.remove(host) {
            *self.restarts.entry(host.to_owned()).or_default() += 1;
            self.reachable_since.insert(host.to_owned(), Instant::now());
            self.cluster
                .restart_node(spec)
                .await
                .expect("the node starts");
        } else {
            let name = HostName::new(host);
            self.cluster
                .restart_engine(&name)
                .await
                .expect("the engine starts");
        }
    }

    pub(in crate::scenario) fn set_frozen(&mut self, host: &str, frozen: bool) {
        let name = HostName::new(host);
        let spawner = match self.cluster.nodes.get(&name) {
            Some(node) => node.spawner.clone(),
            None => self.cluster.engines[&name].spawner.clone(),
        };
        self.set_reachable(host, !frozen);
        if frozen {
            spawner.freeze();
        } else {
            spawner.thaw();
        }
    }

    /// Disconnects or reconnects two hosts; `all` stands for every other host.
    pub(in crate::scenario) fn set_cut(&mut self, one: &str, other: &str, cut: bool) {
        for other in self.others(one, other) {
            let (a, b) = (
                self.cluster.networks.ip(one),
                self.cluster.networks.ip(&other),
            );
            if cut {
                self.cluster.networks.fabric.cut(a, b);
            } else {
                self.cluster.networks.fabric.heal(a, b);
            }
        }
        if other == "all" {
            self.set_reachable(one, !cut);
        }
    }

    pub(in crate::scenario) fn silence(&self, one: &str, other: &str) {
        for other in self.others(one, other) {
            let (a, b) = (
                self.cluster.networks.ip(one),
                self.cluster.networks.ip(&other),
            );
            self.cluster.networks.fabric.silence(a, b);
        }
    }

    fn others(&self, one: &str, other: &str) -> Vec<String> {
        if other != "all" {
            return vec![other.to_owned()];
        }
        let nodes = self.cluster.nodes.keys();
        let engines = self.cluster.engines.keys();
        let services = self.cluster.services.keys();
        let names = nodes
            .chain(engines)
            .chain(services)
            .map(ToString::to_string);
        let rest = ["store", "hosts"].map(str::to_owned);
        names.chain(rest).filter(|name| name != one).collect()
    }

    fn set_reachable(&mut self, host: &str, reachable: bool) {
        if reachable {
            self.unreachable.remove(host);
            self.reachable_since.insert(host.to_owned(), Instant::now());
        } else {
            self.unreachable.insert(host.to_owned());
        }
    }

    pub(in crate::scenario) fn begin_leaving(&mut self, host: &str) {
        let since = Instant::now();
        if self.cluster.engines.contains_key(&HostName::new(host)) {
            let leaving = LeavingTarget {
                since,
                starts: None,
            };
            self.leaving.insert(host.to_owned(), leaving);
        }
    }

    pub(in crate::scenario) fn cancel_leaving(&mut self, host: &str) {
        self.end_leaving(host);
    }

    /// The engine with the most streams.
    pub(in crate::scenario) fn busiest_engine(&self) -> String {
        let engines = self.cluster.engines.iter();
        let busiest = engines.max_by_key(|(_, host)| host.server.live_streams());
        busiest
            .map(|(name, _)| name.to_string())
            .expect("an engine")
    }

    /// The owner in the ownership record with the highest epoch that any node knows.
    pub(in crate::scenario) fn owner(&self) -> Option<HostName> {
        let records = self.cluster.nodes.values().flat_map(|host| {
            let owners = host.node.snapshot().owners.clone();
            owners.values().cloned().collect::<Vec<_>>()
        });
        records.max_by_key(|r| r.epoch).map(|r| r.owner)
    }
}
