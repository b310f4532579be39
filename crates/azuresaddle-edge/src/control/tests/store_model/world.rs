//! Simulation of the store, its writers and the nodes in steps.

use std::collections::BTreeMap;

use azuresaddle_platform::{StoreEra, StorePosition};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use super::event::Event;
use super::node::{Node, Target, Without};
use super::store::Store;
use super::{REWRITE_STEPS, STEP, Sizes, TARGETS};
use crate::control::tests::registry::item_of;

pub(super) struct World {
    pub(super) store: Store,
    pub(super) targets: Vec<Target>,
    pub(super) version: u64,
    /// Keys to be rewritten by their writers, and at which step.
    pub(super) pending_writes: Vec<(u64, String)>,
    pub(super) nodes: Vec<Node>,
    pub(super) start: Instant,
    pub(super) step: u64,
    pub(super) rng: SmallRng,
    pub(super) without: Without,
    pub(super) sizes: Sizes,
}

impl World {
    pub(super) fn new(seed: u64, without: Without, sizes: Sizes) -> Self {
        let start = Instant::now();
        let target = Target {
            born: 1000,
            number: 1,
            state: Some("ready"),
        };
        let store = Store {
            era: 1,
            revision: 0,
            values: BTreeMap::new(),
            history: Vec::new(),
            compacted: 0,
            copies: Vec::new(),
            down_until: 0,
        };
        let mut world = Self {
            store,
            targets: vec![target; TARGETS],
            version: 1,
            pending_writes: Vec::new(),
            nodes: (0..sizes.nodes).map(|_| Node::new(start)).collect(),
            start,
            step: 0,
            rng: SmallRng::seed_from_u64(seed),
            without,
            sizes,
        };
        for key in world.keys() {
            world.write_now(&key);
        }
        world
    }

    pub(super) fn now(&self) -> Instant {
        self.start + STEP * self.step as u32
    }

    pub(super) fn keys(&self) -> Vec<String> {
        let targets = (0..TARGETS).map(|t| format!("servers/t{t}"));
        targets.chain(["op/config".to_owned()]).collect()
    }

    /// Value that a key should have according to its writer.
    pub(super) fn intended_value(&self, key: &str) -> Option<Vec<u8>> {
        let Some(name) = key.strip_prefix("servers/") else {
            return Some(self.version.to_string().into_bytes());
        };
        let target = self.targets[name[1..].parse::<usize>().expect("a number")];
        let number = match self.without {
            Without::Numbers => 1,
            _ => target.number,
        };
        let entry = item_of(name, target.state?, 1, target.born, number);
        entry.value
    }

    pub(super) fn write_now(&mut self, key: &str) {
        if let Some(n) = key.strip_prefix("servers/t") {
            self.targets[n.parse::<usize>().expect("a number")].number += 1;
        }
        let value = self.intended_value(key);
        self.store.write(key, value);
    }

    /// Writes a key now, or shortly after the store is available again.
    pub(super) fn write(&mut self, key: String) {
        if self.store.down_until > self.step {
            let late = self.rng.random_range(1..REWRITE_STEPS);
            self.pending_writes
                .push((self.store.down_until + late, key));
        } else {
            self.write_now(&key);
        }
    }

    pub(super) fn schedule_rewrites(&mut self, from: u64) {
        for key in self.keys() {
            let late = self.rng.random_range(1..REWRITE_STEPS);
            self.pending_writes.push((from + late, key));
        }
    }

    pub(super) fn apply(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::Write(t) if self.targets[t].state.is_some() => {
                self.write(format!("servers/t{t}"));
            }
            Event::Drain(t) if self.targets[t].state.is_some() => {
                self.targets[t].state = Some("draining");
                self.write(format!("servers/t{t}"));
            }
            Event::Leave(t) => {
                self.targets[t].state = None;
                self.write(format!("servers/t{t}"));
            }
            Event::Start(t) => {
                self.targets[t].born += 1000;
                self.targets[t].number = 0;
                self.targets[t].state = Some("ready");
                self.write(format!("servers/t{t}"));
            }
            Event::Write(_) | Event::Drain(_) => {}
            Event::Configure => {
                self.version += 1;
                self.write("op/config".to_owned());
            }
            Event::Outage { steps, lapses } => {
                self.store.down_until = self.step + steps;
                if lapses {
                    for key in self.keys() {
                        if key != "op/config" && self.rng.random_bool(0.5) {
                            self.store.write(&key, None);
                        }
                    }
                    self.schedule_rewrites(self.step + steps);
                }
                return self.advance(steps);
            }
            Event::RollBack(changes) => {
                let away = self.rng.random_range(0..8);
                self.store.down_until = self.step + away;
                self.advance(away)?;
                self.store.roll_back(changes);
                self.schedule_rewrites(self.step);
            }
            Event::Compact => {
                self.store.compacted = self.store.revision;
                self.store.history.clear();
            }
            Event::Disconnect { node, steps } => {
                self.nodes[node].disconnected_until = self.step + steps;
            }
            Event::Restart(n) => self.nodes[n] = Node::new(self.now()),
            Event::Wait(steps) => return self.advance(steps),
        }
        self.advance(1)
    }

    pub(super) fn advance(&mut self, steps: u64) -> Result<(), String> {
        (0..steps).try_for_each(|_| self.one_step())
    }

    pub(super) fn one_step(&mut self) -> Result<(), String> {
        self.step += 1;
        let step = self.step;
        let (due, later) = self
            .pending_writes
            .drain(..)
            .partition(|(at, _)| *at <= step);
        self.pending_writes = later;
        let due: Vec<(u64, String)> = due;
        for (_, key) in due {
            self.write(key);
        }
        for n in 0..self.sizes.nodes {
            self.poll_store(n);
            let now = self.now();
            self.nodes[n].registry.expire_removals(now);
        }
        for n in 0..self.sizes.nodes {
            self.fetch_from_peer(n);
            self.apply_configuration(n)?;
        }
        self.check()
    }

    pub(super) fn position(&self, revision: u64) -> StorePosition {
        let era = match self.without {
            Without::Eras => 1,
            _ => self.store.era,
        };
        StorePosition::new(StoreEra(era), revision)
    }
}
