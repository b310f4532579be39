//! The control task.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::http::HttpClient;
use azuresaddle_core::prelude::*;
use azuresaddle_sched::FallbackPlacer;
use azuresaddle_store::{HttpStore, OwnerRecord, RulesRecord};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior};

use super::command::Command;
use super::lease::HeldLease;
use super::live_streams::LiveStreams;
use super::owned_pool::OwnedPool;
use super::peer_state::PeerState;
use crate::engine::EngineClient;
use crate::metrics::Metrics;
use crate::peer::PeerClients;
use crate::settings::Settings;
use crate::snapshot::{Admission, HostIndex, ReceivedDigest, SharedSnapshot, Snapshot};

/// Interval of the periodic work in [`Control::on_tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Time without a reply after which the store counts as unreachable. A watch returns at least every
/// two seconds.
const STORE_TIMEOUT: Duration = Duration::from_secs(4);

/// Settings, clients and shared state of the control task.
pub struct ControlParts<N> {
    /// Settings of the node.
    pub settings: Arc<Settings>,
    /// Address on which this node accepts other nodes.
    pub peer_addr: std::net::SocketAddr,
    /// HTTP client for engines and the host list.
    pub http: HttpClient<N>,
    /// Connections to other nodes.
    pub peers: PeerClients<N>,
    /// Client of the key-value store.
    pub store: HttpStore<N>,
    /// Spawns tasks on the control thread.
    pub spawner: Spawner,
    /// Attempts that this node waits for or relays.
    pub live: LiveStreams,
    /// Where snapshots are published.
    pub snapshot: SharedSnapshot,
    /// Sender of the task's own command queue, for the tasks that it spawns.
    pub tx: mpsc::Sender<Command>,
    /// Sends metrics.
    pub metrics: Metrics,
}

/// Control state of a node.
pub struct Control<N> {
    pub(super) parts: ControlParts<N>,
    pub(super) engines: EngineClient<N>,
    pub(super) rng: SmallRng,
    pub(super) rules: Arc<RulesRecord>,
    pub(super) rules_known: bool,
    pub(super) hosts: Arc<HostIndex>,
    pub(super) owners: HashMap<PoolId, OwnerRecord>,
    pub(super) digests: HashMap<PoolId, (ReceivedDigest, Epoch)>,
    pub(super) owned: HashMap<PoolId, OwnedPool>,
    pub(super) acquiring: HashSet<PoolId>,
    pub(super) lease: Option<HeldLease>,
    pub(super) peers: HashMap<HostName, PeerState>,
    pub(super) fallback: FallbackPlacer,
    pub(super) store_last_seen: Option<Instant>,
    pub(super) started: Instant,
    pub(super) stop_requested: bool,
    pub(super) stopping_since: Option<Instant>,
    pub(super) last_poll: Option<Instant>,
    pub(super) last_heartbeat: Option<Instant>,
    pub(super) fetching_rules: bool,
}

impl<N: Network> Control<N> {
    /// Creates the state without any hosts, rules or pools.
    pub fn new(parts: ControlParts<N>) -> Self {
        let engines = EngineClient::new(parts.http.clone(), parts.settings.target_timeout);
        Self {
            engines,
            rng: SmallRng::from_os_rng(),
            rules: Arc::default(),
            rules_known: false,
            hosts: Arc::default(),
            owners: HashMap::new(),
            digests: HashMap::new(),
            owned: HashMap::new(),
            acquiring: HashSet::new(),
            lease: None,
            peers: HashMap::new(),
            fallback: FallbackPlacer::default(),
            store_last_seen: None,
            started: Instant::now(),
            stop_requested: false,
            stopping_since: None,
            last_poll: None,
            last_heartbeat: None,
            fetching_rules: false,
            parts,
        }
    }

    /// Runs until the command queue is closed.
    pub async fn run(mut self, mut rx: mpsc::Receiver<Command>) {
        self.spawn_host_list_reader();
        self.spawn_store_watch();
        self.spawn_lease_renewal();
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let wakeup = self.next_wakeup();
            tokio::select! {
                command = rx.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
                _ = tick.tick() => self.on_tick(),
                () = sleep_until(wakeup) => self.dispatch_all(),
            }
        }
    }

    fn handle(&mut self, command: Command) {
        let now = Instant::now();
        let publish_now = command.needs_immediate_publish();
        match command {
            Command::Reserve(req, reply) => self.on_reserve(now, *req, reply),
            Command::Fallback(req, reply) => self.on_fallback(*req, reply),
            Command::Reports(reports) => self.on_reports(now, reports),
            Command::TakeOver(take_over) => self.on_take_over(now, take_over),
            Command::Heartbeat(heartbeat, reply) => self.on_heartbeat(now, heartbeat, reply),
            Command::HeartbeatAnswered(node, reply) => {
                self.on_heartbeat_answered(now, &node, reply);
            }
            Command::Hosts(list) => self.on_hosts(now, list),
            Command::StoreChanges(changes) => self.on_store_changes(now, changes),
            Command::Rules(record) => {
                self.fetching_rules = false;
                self.apply_rules(now, *record);
            }
            Command::LeaseHeld(lease, sent_at) => self.on_lease_held(lease, sent_at),
            Command::LeaseExpired(lease) => self.on_lease_expired(lease),
            Command::Acquired(pool, result) => self.on_acquired(now, pool, result),
            Command::HandedOver(pool, done) => self.on_handed_over(&pool, done),
            Command::Load(target, report) => self.on_load(now, &target, report),
            Command::StreamListing(target, list, sent_at) => {
                self.on_stream_listing(now, &target, list, sent_at);
            }
            Command::CacheListing(target, listing) => self.on_cache_listing(&target, listing),
            Command::CacheEvents(target, events) => self.on_cache_events(&target, events),
            Command::CancelConfirmed(pool, stream, outcome) => {
                self.on_cancel_confirmed(now, &pool, stream, outcome);
            }
            Command::CancelUnconfirmed(pool, stream) => {
                self.on_cancel_unconfirmed(now, &pool, stream);
            }
            Command::Stop => self.stop_requested = true,
        }
        if publish_now {
            self.publish(now);
        }
    }

    fn on_tick(&mut self) {
        let now = Instant::now();
        self.update_stopping(now);
        self.send_heartbeats(now);
        self.poll_targets(now);
        self.acquire_ownerless_pools(now);
        self.expire_waiters(now);
        self.cancel_orphans(now);
        self.dispatch_all();
        self.publish(now);
    }

    /// Whether the store has replied within [`STORE_TIMEOUT`].
    pub(super) fn store_reachable(&self, now: Instant) -> bool {
        self.store_last_seen
            .is_some_and(|at| now - at <= STORE_TIMEOUT)
    }

    /// Spawns a task whose result, if any, is sent to this task as a command.
    pub(super) fn spawn_command<F>(&self, future: F)
    where
        F: Future<Output = Option<Command>> + Send + 'static,
    {
        let tx = self.parts.tx.clone();
        self.parts.spawner.spawn(async move {
            if let Some(command) = future.await {
                let _ = tx.send(command).await;
            }
        });
    }

    /// Number of nodes in the latest host list, this one included; at least 1.
    pub(super) fn node_count(&self) -> usize {
        self.hosts.entries.len().max(1)
    }

    fn update_stopping(&mut self, now: Instant) {
        let name = &self.parts.settings.name;
        let listed = self
            .hosts
            .entries
            .iter()
            .any(|e| e.name == *name && e.leaving);
        let planned = self
            .rules
            .document
            .is_stopping(name, azuresaddle_store::unix_ms());
        if !(self.stop_requested || listed || planned) {
            if self.stopping_since.take().is_some() {
                tracing::info!("node: stop cancelled");
            }
            return;
        }
        if self.stopping_since.is_none() {
            tracing::info!("node: stopping, address no longer returned to callers");
            self.stopping_since = Some(now);
        }
    }

    fn admission(&self, now: Instant) -> Admission {
        // Callers may use the address for its time to live after it was last returned to them.
        let held = self.parts.settings.address_ttl + STOP_PROPAGATION_DELAY;
        if self.stopping_since.is_some_and(|since| now - since > held) {
            return Admission::Stopping;
        }
        if !self.rules_known {
            return Admission::NoRules;
        }
        if !self.store_reachable(now) && !self.reaches_majority(now) {
            return Admission::CutOff;
        }
        Admission::Open
    }

    /// Whether more than half of the nodes, this one included, are alive.
    pub(super) fn reaches_majority(&self, now: Instant) -> bool {
        let alive = self.peers.values().filter(|p| p.is_alive(now)).count() + 1;
        alive * 2 > self.node_count()
    }

    /// Publishes the current state to the traffic threads.
    fn publish(&self, now: Instant) {
        let present = self.parts.snapshot.load();
        let mut digests: Vec<_> = self.digests.values().map(|(d, _)| d.clone()).collect();
        for (id, owned) in &self.owned {
            digests.retain(|d| d.digest.pool != *id);
            digests.push(ReceivedDigest {
                digest: owned.pool.digest(now, id.clone()),
                received_at: now,
            });
        }
        let owners = if *present.owners == self.owners {
            Arc::clone(&present.owners)
        } else {
            Arc::new(self.owners.clone())
        };
        let stopping = self.peers.iter().filter(|(_, p)| p.stopping);
        let mut stopping_nodes: Vec<_> = stopping.map(|(name, _)| name.clone()).collect();
        if self.stopping_since.is_some() {
            stopping_nodes.push(self.parts.settings.name.clone());
        }
        self.parts.snapshot.store(Arc::new(Snapshot {
            rules: Arc::clone(&self.rules),
            hosts: Arc::clone(&self.hosts),
            owners,
            digests: Arc::new(digests),
            admission: self.admission(now),
            store_reachable: self.store_reachable(now),
            stopping_nodes: Arc::new(stopping_nodes),
        }));
    }

    fn next_wakeup(&self) -> Option<Instant> {
        let now = Instant::now();
        self.owned
            .values()
            .filter_map(|owned| owned.pool.next_wakeup(now))
            .min()
    }
}

/// Time for all other nodes to learn that this one is stopping.
const STOP_PROPAGATION_DELAY: Duration = Duration::from_secs(2);

async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
