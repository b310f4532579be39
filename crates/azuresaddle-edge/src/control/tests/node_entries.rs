//! Tests of the node entries in the store, with many nodes in virtual time.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use azuresaddle_platform::{NodeKey, StoreEra, StoreItem, StorePosition};
use tokio::time::Instant;

use super::fleet::Fleet;
use super::members::{ip, state};
use crate::control::members::{Members, TICK};
use crate::control::node_entries::{NodeEntries, NodeEntryCall};

/// Time after its last renewal for which an entry stays in the store.
const ENTRY_TTL: Duration = Duration::from_secs(600);

/// Number of a host without a node.
const GONE: u16 = 2000;

/// Maximum number of nodes that watch the store while a fleet starts.
const MAX_STARTING_WATCHERS: usize = 16;

/// Time within which nodes find each other by the store.
const TIME_TO_JOIN: Duration = Duration::from_secs(4);

/// An entry of the store: until when it stays there, and its position.
#[derive(Clone, Copy)]
struct Stored {
    until: Instant,
    position: StorePosition,
}

/// Entries of the store and their changes.
struct Store {
    era: u64,
    entries: HashMap<Ipv4Addr, Stored>,
    history: Vec<StoreItem>,
    is_down: bool,
}

impl Store {
    fn change(&mut self, key: String, value: Option<Vec<u8>>) -> StorePosition {
        let revision = self.history.len() as u64 + 1;
        let position = StorePosition::new(StoreEra(self.era), revision);
        self.history.push(StoreItem {
            key,
            value,
            position,
        });
        position
    }

    fn put(&mut self, ip: Ipv4Addr, until: Instant) {
        let position = self.change(NodeKey { ip }.encode(), Some(b"1".to_vec()));
        self.entries.insert(ip, Stored { until, position });
    }

    fn remove(&mut self, ip: Ipv4Addr) {
        if self.entries.remove(&ip).is_some() {
            self.change(NodeKey { ip }.encode(), None);
        }
    }

    fn listing(&self) -> Vec<StoreItem> {
        let all = self.entries.iter().map(|(ip, stored)| StoreItem {
            key: NodeKey { ip: *ip }.encode(),
            value: Some(b"1".to_vec()),
            position: stored.position,
        });
        all.collect()
    }
}

/// What a node has read of the store.
#[derive(Default)]
struct Reader {
    entries: NodeEntries,
    is_watcher: bool,
    /// Era and number of changes that it has read; `None` before its first listing.
    read: Option<(u64, usize)>,
}

/// Nodes that find each other by a store.
struct World {
    fleet: Fleet,
    store: Store,
    readers: Vec<Reader>,
    calls: Vec<NodeEntryCall>,
    /// Maximum number of heartbeats to the addresses of entries in a round.
    most_contacts: usize,
}

impl World {
    /// Starts nodes now; a node of number `n` has the seeds that `seeds` returns.
    fn new(nodes: u16, seeds: impl Fn(u16) -> Vec<u16>) -> Self {
        let mut fleet = Fleet::new(nodes);
        let now = fleet.now;
        let start = |n: u16| {
            let seeds: Vec<Ipv4Addr> = seeds(n).into_iter().map(ip).collect();
            let mut own = state(n, 0);
            own.is_watching = false;
            Members::new(now, own, 7341, &seeds)
        };
        fleet.nodes = (1..=nodes).map(start).collect();
        Self {
            fleet,
            store: Store {
                era: 1,
                entries: HashMap::new(),
                history: Vec::new(),
                is_down: false,
            },
            readers: (0..nodes).map(|_| Reader::default()).collect(),
            calls: Vec::new(),
            most_contacts: 0,
        }
    }

    fn advance(&mut self, time: Duration) {
        for _ in 0..time.as_millis() / TICK.as_millis() {
            self.round();
        }
    }

    fn round(&mut self) {
        self.fleet.round();
        let now = self.fleet.now;
        let ended = self.store.entries.iter().filter(|(_, e)| now >= e.until);
        let ended: Vec<Ipv4Addr> = ended.map(|(ip, _)| *ip).collect();
        ended.into_iter().for_each(|ip| self.store.remove(ip));
        let mut contacts = 0;
        for n in 0..self.readers.len() {
            self.read(n);
            contacts += self.contact(n);
            self.call(n);
        }
        self.most_contacts = self.most_contacts.max(contacts);
    }

    /// Lets a node read the store: its content once, and its changes if it watches.
    fn read(&mut self, n: usize) {
        let Reader {
            entries,
            is_watcher,
            read,
        } = &mut self.readers[n];
        let members = &mut self.fleet.nodes[n];
        *is_watcher = members.watch_role(self.fleet.now).is_some();
        let is_watching = *is_watcher && !self.store.is_down;
        members.update_own(|own| own.is_watching = is_watching);
        if self.store.is_down {
            return;
        }
        if !is_watching && !members.is_mesh() {
            entries.on_watch_ended();
        }
        let at = (self.store.era, self.store.history.len());
        match *read {
            Some((era, after)) if era == self.store.era => {
                if is_watching {
                    self.store.history[after..]
                        .iter()
                        .for_each(|i| entries.apply(i));
                    *read = Some(at);
                }
            }
            _ => {
                entries.replace(self.store.listing().iter());
                *read = Some(at);
            }
        }
    }

    /// Sends a node's heartbeats to the addresses of entries; returns their number.
    fn contact(&mut self, n: usize) -> usize {
        let now = self.fleet.now;
        let members = &mut self.fleet.nodes[n];
        let Reader {
            entries,
            is_watcher,
            ..
        } = &mut self.readers[n];
        let to = entries.contacts(now, members, *is_watcher);
        if to.is_empty() {
            return 0;
        }
        let heartbeat = members.bare_heartbeat();
        for ip in &to {
            self.fleet.send(*ip, &heartbeat);
        }
        to.len()
    }

    fn call(&mut self, n: usize) {
        let now = self.fleet.now;
        let members = &mut self.fleet.nodes[n];
        let own = members.own.ip;
        let reader = &mut self.readers[n];
        let Some(call) = reader.entries.next_call(now, members) else {
            return;
        };
        self.calls.push(call);
        let until = now + ENTRY_TTL;
        match call {
            NodeEntryCall::Read => {
                let listing = self.store.listing();
                listing.iter().for_each(|i| reader.entries.apply(i));
                reader.entries.on_complete();
            }
            NodeEntryCall::Write => self.store.put(own, until),
            NodeEntryCall::Renew => {
                let known = self.store.entries.get_mut(&own);
                known.into_iter().for_each(|e| e.until = until);
            }
        }
    }

    fn count(&self, call: NodeEntryCall) -> usize {
        self.calls.iter().filter(|c| **c == call).count()
    }

    /// Checks that all nodes know each other and agree on the owner.
    fn assert_joined(&self) {
        let now = self.fleet.now;
        let views: Vec<(usize, u64)> = self
            .fleet
            .nodes
            .iter()
            .map(|m| {
                let (nodes, owner) = m.live_nodes(now);
                (nodes.len(), owner)
            })
            .collect();
        let expected = (self.fleet.nodes.len(), views[0].1);
        assert!(views.iter().all(|v| *v == expected), "{views:?}");
    }

    /// How many nodes each node knows.
    fn known(&self) -> Vec<usize> {
        let all = self.fleet.nodes.iter();
        all.map(|m| m.live_nodes(self.fleet.now).0.len()).collect()
    }
}

/// Guards against nodes that each take themselves for the owner for good.
#[tokio::test(start_paused = true)]
async fn nodes_whose_seeds_are_all_gone_find_each_other() {
    let mut world = World::new(5, |_| vec![GONE]);
    world.advance(TIME_TO_JOIN);
    world.assert_joined();
}

/// Guards against two groups of nodes, each with seeds among its own nodes only.
#[tokio::test(start_paused = true)]
async fn groups_with_seeds_of_their_own_join() {
    for nodes in [5, 80] {
        let mut world = World::new(nodes, |n| if n > 3 { vec![4, 5] } else { vec![1, 2] });
        world.advance(TIME_TO_JOIN + Duration::from_secs(3));
        world.assert_joined();
        assert!(world.count(NodeEntryCall::Write) <= 4, "{:?}", world.calls);
    }
}

/// Guards against a node that waits for the entry of another one although the store has one.
#[tokio::test(start_paused = true)]
async fn a_node_without_seeds_joins_a_running_fleet_at_once() {
    for nodes in [5, 80] {
        let mut world = World::new(nodes, |_| vec![1, 2]);
        world.advance(Duration::from_secs(8));
        let now = world.fleet.now;
        let mut own = state(nodes, 0);
        own.incarnation += 1;
        own.started_ms += 10_000;
        own.is_watching = false;
        world.fleet.nodes[usize::from(nodes) - 1] = Members::new(now, own, 7341, &[ip(GONE)]);
        world.readers[usize::from(nodes) - 1] = Reader::default();
        let calls = world.calls.len();
        world.advance(Duration::from_millis(300));
        assert!(*world.known().last().unwrap() > 3, "{:?}", world.known());
        world.advance(TIME_TO_JOIN);
        world.assert_joined();
        assert_eq!(world.count(NodeEntryCall::Write), 1, "{:?}", world.calls);
        assert!(world.calls.len() <= calls + 1);
    }
}

/// Guards against calls to the store that grow with the fleet.
#[tokio::test(start_paused = true)]
async fn a_fleet_makes_few_calls_however_many_nodes_it_has() {
    for nodes in [1, 5, 300] {
        let mut world = World::new(nodes, |_| vec![1, 2]);
        world.advance(Duration::from_secs(6));
        assert_eq!(
            world.count(NodeEntryCall::Write),
            1,
            "{nodes}: {:?}",
            world.calls
        );
        assert!(
            world.count(NodeEntryCall::Read) <= MAX_STARTING_WATCHERS,
            "{nodes}: {:?}",
            world.calls
        );
        let before = world.calls.len();
        world.advance(Duration::from_secs(1));
        assert_eq!(world.calls.len(), before, "{nodes}: {:?}", world.calls);
        assert_eq!(world.store.entries.len(), 1);
    }
}

/// Guards against a write of each node when a fleet moves to other addresses as a whole.
#[tokio::test(start_paused = true)]
async fn few_of_100_nodes_whose_seeds_are_gone_write_an_entry() {
    let mut world = World::new(100, |_| vec![GONE]);
    world.advance(Duration::from_secs(8));
    world.assert_joined();
    let writes = world.count(NodeEntryCall::Write);
    assert!(writes <= 20, "{writes}");
    let calls = world.calls.len();
    world.advance(Duration::from_secs(3));
    assert_eq!(world.calls.len(), calls);
}

#[tokio::test(start_paused = true)]
async fn an_entry_is_renewed_before_its_lease_ends() {
    let mut world = World::new(3, |_| vec![1, 2]);
    world.advance(Duration::from_secs(1300));
    assert_eq!(world.count(NodeEntryCall::Write), 1, "{:?}", world.calls);
    assert_eq!(world.count(NodeEntryCall::Renew), 6, "{:?}", world.calls);
    assert_eq!(world.store.entries.len(), 1);
}

/// Guards against a store that comes back from a copy without the entries.
#[tokio::test(start_paused = true)]
async fn an_entry_that_the_store_has_lost_is_written_again() {
    let mut world = World::new(5, |_| vec![1, 2]);
    world.advance(Duration::from_secs(5));
    world.store.is_down = true;
    world.advance(Duration::from_secs(2));
    world.store.is_down = false;
    world.store.era += 1;
    world.store.entries.clear();
    world.store.history.clear();
    world.advance(TIME_TO_JOIN);
    assert_eq!(world.store.entries.len(), 1);
    assert_eq!(world.count(NodeEntryCall::Write), 2, "{:?}", world.calls);
}

/// Guards against nodes that stay alone after a start without the store.
#[tokio::test(start_paused = true)]
async fn nodes_without_seeds_find_each_other_once_the_store_is_back() {
    let mut world = World::new(5, |_| vec![GONE]);
    world.store.is_down = true;
    world.advance(Duration::from_secs(10));
    assert_eq!((world.known(), world.calls.len()), (vec![1; 5], 0));
    world.store.is_down = false;
    world.advance(TIME_TO_JOIN);
    world.assert_joined();
}

/// Guards against trust in what other writers leave under the prefix.
#[tokio::test(start_paused = true)]
async fn entries_of_other_writers_cost_a_few_heartbeats_only() {
    let mut world = World::new(5, |_| vec![GONE]);
    let forever = world.fleet.now + Duration::from_secs(3600);
    for n in 0..500 {
        world.store.put(ip(3000 + n), forever);
    }
    for key in [
        "",
        "x",
        "10.0.0.1/2",
        "10.0.0",
        "::1",
        "0.0.0.0",
        "255.255.255.255",
        "224.0.0.1",
    ] {
        let key = format!("azuresaddle/nodes/{key}");
        world.store.change(key, Some(b"1".to_vec()));
    }
    world.advance(TIME_TO_JOIN);
    world.assert_joined();
    world.most_contacts = 0;
    let calls = world.calls.len();
    world.advance(Duration::from_secs(30));
    assert!(world.most_contacts <= 5 * 16, "{}", world.most_contacts);
    assert_eq!(world.calls.len(), calls);
    world.assert_joined();
    assert!(world.known().iter().all(|known| *known == 5));
    assert_eq!(world.fleet.nodes[0].running_nodes(), 6, "with the seed");
}

/// Guards against nodes that forget each other in a long partition, in which the seeds end.
#[tokio::test(start_paused = true)]
async fn the_sides_of_a_long_partition_join_after_its_end() {
    let mut world = World::new(6, |n| if n > 3 { vec![5] } else { vec![2] });
    world.advance(TIME_TO_JOIN + Duration::from_secs(3));
    world.assert_joined();
    let sides = (1..=3).flat_map(|a| (4..=6).map(move |b| (a, b)));
    world.fleet.cuts = sides.collect();
    world.advance(Duration::from_secs(60));
    assert_eq!(world.known(), [3; 6]);
    world.fleet.cuts.clear();
    world.advance(TIME_TO_JOIN);
    world.assert_joined();
}
