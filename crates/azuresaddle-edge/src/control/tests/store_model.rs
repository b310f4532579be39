//! Three nodes before a store that fails, forgets and goes back, in random series of events.
//!
//! Two of the nodes follow the store; the third has read it once and hears of changes from the others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use azuresaddle_platform::{Item, StoreEra, StorePosition};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{RngAlgorithm, TestCaseError, TestRng, TestRunner};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use super::registry::item_of;
use crate::control::registry::Registry;
use crate::control::start_gate::{Heard, StartGate};

/// Time between two steps.
const STEP: Duration = Duration::from_millis(100);

/// Steps within which what the store has lost is written again.
const WRITTEN_AGAIN: u64 = 19;

/// Steps for which an entry that the store has lost is believed.
const GRACE: u64 = 22;

/// Steps after which all nodes see what the store holds, once nothing is written any more and no entry is believed
/// for its grace.
const QUIET: u64 = 20;

/// Targets.
const TARGETS: usize = 4;

/// Nodes of the random series.
const NODES: usize = 3;

/// Sizes of a fleet.
#[derive(Clone, Copy, Debug)]
struct Sizes {
    nodes: usize,
    /// Nodes that follow the store.
    watchers: usize,
}

/// Those of the random series.
const SMALL: Sizes = Sizes {
    nodes: NODES,
    watchers: 2,
};

/// What happens between two steps.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A target writes its entry.
    Beat(usize),
    /// A target tells that it leaves.
    Drain(usize),
    /// A target has left, and its entry is removed.
    Leave(usize),
    /// A target starts again, or comes back.
    Start(usize),
    /// The operator writes a configuration.
    Configure,
    /// The store answers nobody for some steps; entries may lapse.
    Outage { steps: u64, lapses: bool },
    /// The store comes back from the copy before its last changes.
    GoBack(usize),
    /// The store forgets its history.
    Compact,
    /// One node does not reach the store for some steps.
    Cut { node: usize, steps: u64 },
    /// A node starts anew.
    Restart(usize),
    /// Nothing.
    Pass(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let target = 0..TARGETS;
    prop_oneof![
        3 => target.clone().prop_map(Event::Beat),
        3 => target.clone().prop_map(Event::Drain),
        2 => target.clone().prop_map(Event::Leave),
        3 => target.prop_map(Event::Start),
        2 => Just(Event::Configure),
        2 => (1..15_u64, any::<bool>()).prop_map(|(steps, lapses)| Event::Outage { steps, lapses }),
        3 => (0..8_usize).prop_map(Event::GoBack),
        1 => Just(Event::Compact),
        2 => (0..NODES, 1..30_u64).prop_map(|(node, steps)| Event::Cut { node, steps }),
        2 => (0..NODES).prop_map(Event::Restart),
        4 => (1..15_u64).prop_map(Event::Pass),
    ]
}

/// A key's value and its revision.
type Values = BTreeMap<String, (Vec<u8>, u64)>;

/// A store with a copy after each change.
struct Store {
    era: u64,
    revision: u64,
    values: Values,
    /// Changes, as a watch tells them.
    history: Vec<(String, Option<Vec<u8>>, u64)>,
    compacted: u64,
    copies: Vec<(Values, u64)>,
    down_until: u64,
}

impl Store {
    fn write(&mut self, key: &str, value: Option<Vec<u8>>) {
        if value.is_none() && !self.values.contains_key(key) {
            return;
        }
        self.copies.push((self.values.clone(), self.revision));
        self.revision += 1;
        let revision = self.revision;
        match value.clone() {
            Some(value) => self.values.insert(key.to_owned(), (value, revision)),
            None => self.values.remove(key),
        };
        self.history.push((key.to_owned(), value, revision));
    }

    fn go_back(&mut self, changes: usize) {
        let kept = self.copies.len().saturating_sub(changes);
        if let Some((values, revision)) = self.copies.get(kept).cloned() {
            self.values = values;
            self.revision = revision;
        }
        self.copies.truncate(kept);
        self.history.retain(|c| c.2 <= self.revision);
        self.compacted = self.compacted.min(self.revision);
        self.era += 1;
    }
}

/// What a target says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Target {
    born: u64,
    number: u64,
    state: Option<&'static str>,
}

struct Node {
    registry: Registry,
    gate: StartGate,
    configuration: u64,
    /// The latest configuration that it has read, in force or not.
    read: u64,
    started_at: Instant,
    /// Position up to which it has followed the store.
    followed: Option<StorePosition>,
    is_lost: bool,
    cut_until: u64,
    /// Starts of targets that it knows to drain.
    drained: BTreeSet<(String, u64)>,
    /// Since when it differs from a node that has heard of the same changes.
    differs_since: Option<u64>,
    /// Fetches of everything, and of changes, from other nodes.
    fetches: (usize, usize),
}

impl Node {
    fn new(now: Instant) -> Self {
        Self {
            registry: Registry::default(),
            gate: StartGate::default(),
            configuration: 0,
            read: 0,
            started_at: now,
            followed: None,
            is_lost: false,
            cut_until: 0,
            drained: BTreeSet::new(),
            differs_since: None,
            fetches: (0, 0),
        }
    }
}

/// What is left out, to see that the check needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    /// All positions seem to be of one copy of the store.
    Eras,
    /// All entries of a target seem to have the same number.
    Numbers,
}

struct World {
    store: Store,
    targets: Vec<Target>,
    version: u64,
    /// Keys that their writers write again, and at which step.
    due: Vec<(u64, String)>,
    nodes: Vec<Node>,
    start: Instant,
    step: u64,
    rng: SmallRng,
    without: Without,
    sizes: Sizes,
}

impl World {
    fn new(seed: u64, without: Without, sizes: Sizes) -> Self {
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
            due: Vec::new(),
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

    fn now(&self) -> Instant {
        self.start + STEP * self.step as u32
    }

    fn keys(&self) -> Vec<String> {
        let targets = (0..TARGETS).map(|t| format!("servers/t{t}"));
        targets.chain(["op/config".to_owned()]).collect()
    }

    /// What a key should hold by its writer's word.
    fn meant(&self, key: &str) -> Option<Vec<u8>> {
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

    fn write_now(&mut self, key: &str) {
        if let Some(n) = key.strip_prefix("servers/t") {
            self.targets[n.parse::<usize>().expect("a number")].number += 1;
        }
        let value = self.meant(key);
        self.store.write(key, value);
    }

    /// Writes a key now, or once the store is back.
    fn write(&mut self, key: String) {
        if self.store.down_until > self.step {
            let late = self.rng.random_range(1..WRITTEN_AGAIN);
            self.due.push((self.store.down_until + late, key));
        } else {
            self.write_now(&key);
        }
    }

    fn write_all_again(&mut self, from: u64) {
        for key in self.keys() {
            let late = self.rng.random_range(1..WRITTEN_AGAIN);
            self.due.push((from + late, key));
        }
    }

    fn take(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::Beat(t) if self.targets[t].state.is_some() => {
                self.write(format!("servers/t{t}"))
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
            Event::Beat(_) | Event::Drain(_) => {}
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
                    self.write_all_again(self.step + steps);
                }
                return self.pass(steps);
            }
            Event::GoBack(changes) => {
                let away = self.rng.random_range(0..8);
                self.store.down_until = self.step + away;
                self.pass(away)?;
                self.store.go_back(changes);
                self.write_all_again(self.step);
            }
            Event::Compact => {
                self.store.compacted = self.store.revision;
                self.store.history.clear();
            }
            Event::Cut { node, steps } => self.nodes[node].cut_until = self.step + steps,
            Event::Restart(n) => self.nodes[n] = Node::new(self.now()),
            Event::Pass(steps) => return self.pass(steps),
        }
        self.pass(1)
    }

    fn pass(&mut self, steps: u64) -> Result<(), String> {
        (0..steps).try_for_each(|_| self.one_step())
    }

    fn one_step(&mut self) -> Result<(), String> {
        self.step += 1;
        let step = self.step;
        let (due, later) = self.due.drain(..).partition(|(at, _)| *at <= step);
        self.due = later;
        let due: Vec<(u64, String)> = due;
        for (_, key) in due {
            self.write(key);
        }
        for n in 0..self.sizes.nodes {
            self.follow(n);
            let now = self.now();
            self.nodes[n].registry.check(now);
        }
        for n in 0..self.sizes.nodes {
            self.gossip(n);
            self.begin(n)?;
        }
        self.check()
    }

    fn position(&self, revision: u64) -> StorePosition {
        let era = match self.without {
            Without::Eras => 1,
            _ => self.store.era,
        };
        StorePosition::new(StoreEra(era), revision)
    }

    /// One call of a node to the store.
    fn follow(&mut self, n: usize) {
        let now = self.now();
        let is_answered =
            self.store.down_until <= self.step && self.nodes[n].cut_until <= self.step;
        let is_watching = n < self.sizes.watchers || self.nodes[n].followed.is_none();
        if !is_answered {
            self.nodes[n].is_lost = true;
            return;
        }
        // The answer may be lost, or come a step later.
        if !is_watching || self.rng.random_bool(0.1) {
            return;
        }
        let at = self.position(self.store.revision);
        let changes = self.changes_after(self.nodes[n].followed);
        let listing: Vec<Item> = self.listing();
        let node = &mut self.nodes[n];
        node.registry.on_era(now, at.era);
        if std::mem::take(&mut node.is_lost) {
            node.registry.on_store_back(now);
        }
        let items = match &changes {
            Some(items) => items.clone(),
            None => listing.clone(),
        };
        for item in items.iter().filter(|i| i.key == "op/config") {
            let version = item.value.as_deref().map(number_in).unwrap_or(0);
            node.read = node.read.max(version);
        }
        let targets = items.into_iter().filter(|i| i.key != "op/config");
        match changes {
            Some(_) => {
                for item in targets {
                    node.registry.apply(now, item);
                }
                node.registry.on_followed(at);
            }
            None => {
                node.registry.apply_listing(now, targets.collect(), at);
            }
        }
        node.registry.on_caught_up();
        node.followed = Some(at);
    }

    /// What a watch from a position tells; `None` where all has to be read anew.
    fn changes_after(&self, after: Option<StorePosition>) -> Option<Vec<Item>> {
        let after = after?;
        let is_known =
            after.revision >= self.store.compacted && after.revision <= self.store.revision;
        if after.era != self.position(0).era || !is_known {
            return None;
        }
        let later = self.store.history.iter().filter(|c| c.2 > after.revision);
        let items = later.map(|(key, value, revision)| Item {
            key: key.clone(),
            value: value.clone(),
            position: self.position(*revision),
        });
        Some(items.collect())
    }

    fn listing(&self) -> Vec<Item> {
        let all = self.store.values.iter();
        all.map(|(key, (value, revision))| Item {
            key: key.clone(),
            value: Some(value.clone()),
            position: self.position(*revision),
        })
        .collect()
    }

    /// A node asks another one for what it lacks.
    fn gossip(&mut self, n: usize) {
        let nodes = self.sizes.nodes;
        let other = (n + 1 + self.rng.random_range(0..nodes - 1)) % nodes;
        let now = self.now();
        let told = self.nodes[other].registry.published();
        let position = self.nodes[other].registry.position();
        let own = self.nodes[n].registry.position();
        let is_fresh = self.nodes[n].configuration == 0 && !self.nodes[n].gate.is_synced;
        let is_settled = self.is_settled(other);
        let is_newer = self.nodes[other].configuration > self.nodes[n].configuration;
        let node = &mut self.nodes[n];
        let has_same_position = position == own;
        let differs = has_same_position && told.hash != node.registry.published().hash;
        let since = node.differs_since.take().filter(|_| differs);
        node.differs_since = differs.then(|| since.unwrap_or(self.step));
        let is_due = node.differs_since.is_some_and(|at| self.step - at >= 5);
        let after = if (is_fresh && is_settled) || is_due {
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
        let records = told.records.iter();
        for record in records.filter(|r| after.is_none_or(|after| r.position() > after)) {
            node.registry.apply_update(now, record.news());
        }
        node.registry.on_synced(position);
        let (read, drained) = (
            self.nodes[other].configuration,
            self.nodes[other].drained.clone(),
        );
        let node = &mut self.nodes[n];
        node.read = node.read.max(read);
        if after.is_none() {
            node.gate.is_synced = true;
            node.drained.extend(drained);
        }
    }

    fn is_settled(&self, n: usize) -> bool {
        let began_at = self.nodes[n].gate.began_at;
        let served = began_at.map(|at| self.now().saturating_duration_since(at));
        served >= Some(Duration::from_secs(3))
    }

    /// Puts the latest configuration in force that a node has read.
    fn begin(&mut self, n: usize) -> Result<(), String> {
        let others = || (0..self.nodes.len()).filter(|m| *m != n);
        let newest = others().map(|m| self.nodes[m].configuration).max();
        let newest = newest.unwrap_or(0);
        let heard = Heard {
            newest,
            has_settled: others().any(|m| self.is_settled(m)),
        };
        let now = self.now();
        let age = now.saturating_duration_since(self.nodes[n].started_at);
        let node = &mut self.nodes[n];
        let is_first = node.configuration == 0;
        if node.read <= node.configuration || (is_first && !node.gate.admits(age, heard, node.read))
        {
            return Ok(());
        }
        node.configuration = node.read;
        node.gate.began_at.get_or_insert(now);
        if is_first && node.configuration < newest {
            return Err(format!("node {n} begins with an older configuration"));
        }
        Ok(())
    }

    /// No node that serves sends work to a target that it knows to drain.
    fn check(&mut self) -> Result<(), String> {
        let step = self.step;
        for (n, node) in self.nodes.iter_mut().enumerate() {
            let published = node.registry.published();
            for record in published.records.iter() {
                let entry = record.entry();
                let draining = entry
                    .filter(|e| e.state == azuresaddle_core::deployment::TargetState::Draining);
                if let Some(entry) = draining {
                    node.drained.insert((entry.id.to_string(), entry.started.0));
                }
            }
            for target in published.targets.of_service("s") {
                let start = (target.id.to_string(), target.started.0);
                if node.configuration > 0 && node.drained.contains(&start) {
                    return Err(format!(
                        "step {step}: node {n} sends to {start:?}, which drains"
                    ));
                }
            }
        }
        Ok(())
    }

    /// Nothing more is written; all nodes see what the store holds.
    fn settle(&mut self) -> Result<(), String> {
        while !self.due.is_empty() || self.store.down_until > self.step {
            self.pass(1)?;
        }
        for node in &mut self.nodes {
            node.cut_until = 0;
        }
        self.pass(GRACE + QUIET)?;
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

fn run(seed: u64, events: &[Event], without: Without) -> Result<(), String> {
    let mut world = World::new(seed, without, SMALL);
    world.pass(5)?;
    for event in events {
        world.take(*event)?;
    }
    world.settle()
}

/// Series of events that the test draws, the same ones each time.
const SERIES: u32 = 1500;

fn runner(cases: u32) -> TestRunner {
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn series() -> impl Strategy<Value = (u64, Vec<Event>)> {
    (any::<u64>(), proptest::collection::vec(event(), 1..30))
}

/// More series by hand: `AZURESADDLE_SERIES=N`.
#[test]
fn all_nodes_see_what_the_store_holds_and_none_goes_back() {
    let asked = std::env::var("AZURESADDLE_SERIES").ok();
    let cases = asked.and_then(|n| n.parse().ok()).unwrap_or(SERIES);
    let result = runner(cases).run(&series(), |(seed, events)| {
        run(seed, &events, Without::Nothing).map_err(TestCaseError::fail)
    });
    if let Err(e) = result {
        panic!("{e}");
    }
}

/// A node that has read the store after the removal heard of the target from one that had missed it.
#[test]
fn an_entry_that_the_store_no_longer_held_is_not_taken_from_another_node() {
    let outage = Event::Outage {
        steps: 1,
        lapses: true,
    };
    let mut events = vec![
        Event::Pass(3),
        Event::Beat(0),
        Event::GoBack(3),
        Event::Beat(0),
        Event::Drain(0),
        Event::Restart(0),
        Event::Leave(3),
        Event::Beat(0),
        outage,
    ];
    events.extend([Event::Beat(0); 5]);
    events.extend([Event::Configure, Event::Beat(0), Event::Restart(1)]);
    assert_eq!(
        run(6_701_426_987_596_928_744, &events, Without::Nothing),
        Ok(())
    );
}

/// The store goes back twice in a row before a large fleet, of which four nodes follow it and some start meanwhile.
#[test]
fn three_hundred_nodes_end_at_the_same_targets_without_a_storm() {
    let sizes = Sizes {
        nodes: 300,
        watchers: 4,
    };
    let mut world = World::new(1, Without::Nothing, sizes);
    let mut events = vec![Event::Pass(30), Event::Drain(0), Event::Leave(1)];
    events.extend([Event::Configure, Event::Start(2), Event::GoBack(4)]);
    events.extend([Event::Pass(5), Event::Drain(3), Event::GoBack(3)]);
    events.extend((100..110).map(Event::Restart));
    for event in &events {
        assert_eq!(world.take(*event), Ok(()));
    }
    assert_eq!(world.settle(), Ok(()));
    // One fetch of everything at its start, and one for each time that the store went back.
    let most_full = world.nodes.iter().map(|n| n.fetches.0).max();
    assert!(most_full <= Some(3), "{most_full:?} fetches of everything");
    // No more than there were changes.
    let changes = usize::try_from(world.store.revision).expect("a small number") + events.len();
    let most = world.nodes.iter().map(|n| n.fetches.1).max();
    assert!(
        most <= Some(changes),
        "{most:?} fetches for {changes} changes"
    );
}

/// Number of series that fail.
fn failures(without: Without) -> usize {
    let mut runner = runner(0);
    let series = series();
    let failed = (0..300).filter(|_| {
        let (seed, events) = series.new_tree(&mut runner).expect("a series").current();
        run(seed, &events, without).is_err()
    });
    failed.count()
}

#[test]
fn the_check_fails_without_eras_and_without_numbers() {
    assert_eq!(failures(Without::Nothing), 0);
    assert!(failures(Without::Eras) > 0);
    assert!(failures(Without::Numbers) > 0);
}
