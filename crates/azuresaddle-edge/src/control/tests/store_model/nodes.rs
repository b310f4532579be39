//! Actions of the nodes in a step, and the invariants that must hold.

use std::time::Duration;

use azuresaddle_core::deployment::TargetState;
use azuresaddle_platform::{StoreItem, StorePosition};
use rand::Rng;

use super::world::World;
use super::{CONVERGENCE_STEPS, GRACE_STEPS, TARGETS};
use crate::control::start_gate::PeerView;

impl World {
    /// Polls the store once for a node.
    pub(super) fn poll_store(&mut self, n: usize) {
        let now = self.now();
        let is_answered =
            self.store.down_until <= self.step && self.nodes[n].disconnected_until <= self.step;
        let is_watching = n < self.sizes.watchers || self.nodes[n].read_up_to.is_none();
        if !is_answered {
            self.nodes[n].is_store_unreachable = true;
            return;
        }
        // The answer may be lost or delayed by a step.
        if !is_watching || self.rng.random_bool(0.1) {
            return;
        }
        let at = self.position(self.store.revision);
        let changes = self.changes_after(self.nodes[n].read_up_to);
        let listing: Vec<StoreItem> = self.listing();
        let node = &mut self.nodes[n];
        node.registry.on_era(now, at.era);
        if std::mem::take(&mut node.is_store_unreachable) {
            node.registry.on_store_reconnected(now);
        }
        let items = match &changes {
            Some(items) => items.clone(),
            None => listing.clone(),
        };
        for item in items.iter().filter(|i| i.key == "op/config") {
            let version = item.value.as_deref().map(number_in).unwrap_or(0);
            node.latest_read_version = node.latest_read_version.max(version);
        }
        let targets = items.into_iter().filter(|i| i.key != "op/config");
        match changes {
            Some(_) => {
                for item in targets {
                    node.registry.apply(now, item);
                }
                node.registry.on_read_up_to(at);
            }
            None => {
                node.registry.apply_listing(now, targets.collect(), at);
            }
        }
        node.registry.on_caught_up();
        node.read_up_to = Some(at);
    }

    /// Returns the changes after a position, as a watch reports them; `None` if the store has to be
    /// listed again.
    pub(super) fn changes_after(&self, after: Option<StorePosition>) -> Option<Vec<StoreItem>> {
        let after = after?;
        let is_known =
            after.revision >= self.store.compacted && after.revision <= self.store.revision;
        if after.era != self.position(0).era || !is_known {
            return None;
        }
        let later = self.store.history.iter().filter(|c| c.2 > after.revision);
        let items = later.map(|(key, value, revision)| StoreItem {
            key: key.clone(),
            value: value.clone(),
            position: self.position(*revision),
        });
        Some(items.collect())
    }

    pub(super) fn listing(&self) -> Vec<StoreItem> {
        let all = self.store.values.iter();
        all.map(|(key, (value, revision))| StoreItem {
            key: key.clone(),
            value: Some(value.clone()),
            position: self.position(*revision),
        })
        .collect()
    }

    /// Fetches what a node lacks from a random other node.
    pub(super) fn fetch_from_peer(&mut self, n: usize) {
        let nodes = self.sizes.nodes;
        let other = (n + 1 + self.rng.random_range(0..nodes - 1)) % nodes;
        let now = self.now();
        let published = self.nodes[other].registry.published();
        let position = self.nodes[other].registry.position();
        let own = self.nodes[n].registry.position();
        let is_starting = self.nodes[n].configuration == 0 && !self.nodes[n].gate.is_synced;
        let is_settled = self.is_settled(other);
        let is_newer = self.nodes[other].configuration > self.nodes[n].configuration;
        let node = &mut self.nodes[n];
        let has_same_position = position == own;
        let differs = has_same_position && published.hash != node.registry.published().hash;
        let since = node.differs_since.take().filter(|_| differs);
        node.differs_since = differs.then(|| since.unwrap_or(self.step));
        let is_due = node.differs_since.is_some_and(|at| self.step - at >= 5);
        let after = if (is_starting && is_settled) || is_due {
            None
        } else if position > own || is_newer {
            Some(own)
        } else {
            return;
        };
        match after {
            None => node.fetches.0 += 1,
            Some(_) => node.fetches.1 += 1,
        }
        let records = published.records.iter();
        for record in records.filter(|r| after.is_none_or(|after| r.position() > after)) {
            node.registry.apply_update(now, record.to_update());
        }
        node.registry.on_synced(position);
        let (read, drained) = (
            self.nodes[other].configuration,
            self.nodes[other].drained.clone(),
        );
        let node = &mut self.nodes[n];
        node.latest_read_version = node.latest_read_version.max(read);
        if after.is_none() {
            node.gate.is_synced = true;
            node.drained.extend(drained);
        }
    }

    pub(super) fn is_settled(&self, n: usize) -> bool {
        let serving_since = self.nodes[n].gate.serving_since;
        let served = serving_since.map(|at| self.now().saturating_duration_since(at));
        served >= Some(Duration::from_secs(3))
    }

    /// Activates the latest configuration that a node has read, if the start gate admits it.
    pub(super) fn apply_configuration(&mut self, n: usize) -> Result<(), String> {
        let others = || (0..self.nodes.len()).filter(|m| *m != n);
        let newest = others().map(|m| self.nodes[m].configuration).max();
        let newest = newest.unwrap_or(0);
        let view = PeerView {
            newest,
            has_settled: others().any(|m| self.is_settled(m)),
        };
        let now = self.now();
        let age = now.saturating_duration_since(self.nodes[n].started_at);
        let node = &mut self.nodes[n];
        let is_first = node.configuration == 0;
        if node.latest_read_version <= node.configuration
            || (is_first && !node.gate.admits(age, view, node.latest_read_version))
        {
            return Ok(());
        }
        node.configuration = node.latest_read_version;
        node.gate.serving_since.get_or_insert(now);
        if is_first && node.configuration < newest {
            return Err(format!("node {n} starts with an older configuration"));
        }
        Ok(())
    }

    /// Checks that no serving node sends work to a target that it knows to be draining.
    pub(super) fn check(&mut self) -> Result<(), String> {
        let step = self.step;
        for (n, node) in self.nodes.iter_mut().enumerate() {
            let published = node.registry.published();
            for record in published.records.iter() {
                let entry = record.entry();
                let draining = entry.filter(|e| e.state == TargetState::Draining);
                if let Some(entry) = draining {
                    node.drained.insert((entry.id.to_string(), entry.started.0));
                }
            }
            for target in published.targets.of_service("s") {
                let start = (target.id.to_string(), target.started.0);
                if node.configuration > 0 && node.drained.contains(&start) {
                    return Err(format!(
                        "step {step}: node {n} sends to {start:?}, which is draining"
                    ));
                }
            }
        }
        Ok(())
    }

    /// Ends all writes, and checks that all nodes converge to the content of the store.
    pub(super) fn settle(&mut self) -> Result<(), String> {
        while !self.pending_writes.is_empty() || self.store.down_until > self.step {
            self.advance(1)?;
        }
        for node in &mut self.nodes {
            node.disconnected_until = 0;
        }
        self.advance(GRACE_STEPS + CONVERGENCE_STEPS)?;
        let ready: Vec<(String, u64)> = (0..TARGETS)
            .filter(|t| self.targets[*t].state == Some("ready"))
            .map(|t| (format!("t{t}"), self.targets[t].born))
            .collect();
        for (n, node) in self.nodes.iter().enumerate() {
            let set = node.registry.targets();
            let seen = set.of_service("s").iter();
            let seen: Vec<(String, u64)> = seen.map(|t| (t.id.to_string(), t.started.0)).collect();
            if seen != ready || node.configuration != self.version {
                return Err(format!(
                    "node {n} sees {seen:?} and {}, not {ready:?} and {}",
                    node.configuration, self.version
                ));
            }
        }
        Ok(())
    }
}

fn number_in(value: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(value);
    text.parse().unwrap_or(0)
}
