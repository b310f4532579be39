//! The control loop: receives datagrams, store events and observations, and publishes snapshots.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::deployment::{Configuration, NodeSettings};
use azuresaddle_core::http::HttpClient;
use azuresaddle_core::prelude::*;
use azuresaddle_platform::{PlatformStore, StoreEra, StorePosition};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior};
use tokio_util::sync::CancellationToken;

use super::crash_writer::{CrashWrite, write_crashes};
use super::crashes::CrashGossip;
use super::era_probe::probe_era;
use super::fetch::Fetched;
use super::heartbeat::{MAX_BYTES, MemberState};
use super::host_capacity::HostCapacity;
use super::host_loads::LoadGossip;
use super::members::{Members, TICK};
use super::node_entries::{NodeEntries, NodeEntryCall};
use super::node_entry_calls::make_node_entry_calls;
use super::own_load::OwnLoad;
use super::read_plan::{FirstListing, ReadPlan};
use super::registry::Registry;
use super::shared_health::SharedHealth;
use super::signal_records::SignalRecords;
use super::signals::SignalGossip;
use super::start_gate::StartGate;
use super::store_event::StoreEvent;
use super::store_watch::watch_store;
use super::stored_crashes::StoredCrashes;
use super::target_health::ProbeResult;
use super::watch_role::WatchRole;
use crate::domain_hash::domain_hash;
use crate::metrics::Metrics;
use crate::peer::PeerClients;
use crate::quarantine::{CrashUpdate, SharedQuarantine};
use crate::signals::ObservedSignals;
use crate::snapshot::Snapshots;
use crate::targets::SendObservations;

/// Timeout of store calls other than watches.
const STORE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Maximum age of the store's last answer for the watch to count as working: the duration of a
/// watch plus slack.
const WATCH_FRESH: Duration = Duration::from_millis(2600);

/// Minimum interval between two snapshots; changes in between are published together. Otherwise a
/// thousand targets that register within a second would each cost a snapshot.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_millis(30);

/// Capacity of the queue of store events.
const MAX_WAITING_EVENTS: usize = 64;

/// Capacity of the queue of crash writes: enough for the crashes of all streams on a few targets.
const MAX_WAITING_CRASHES: usize = 64;

/// Capacity of the queue of calls for the node entries; the next one follows seconds later.
const MAX_WAITING_ENTRY_CALLS: usize = 1;

/// Capacity of the queue of probe results; a node probes few targets at a time.
const MAX_WAITING_PROBES: usize = 64;

/// Minimum interval between two watch calls of the first watcher, which the other nodes hear from.
const LEADING_WATCH_INTERVAL: Duration = Duration::from_millis(40);

/// Minimum interval between two watch calls of the other watchers. They only matter if the first one
/// ends, so their calls may cover more changes.
const STANDBY_WATCH_INTERVAL: Duration = Duration::from_millis(200);

/// Dependencies of the control loop.
pub(crate) struct ControlParts<N> {
    pub(crate) settings: NodeSettings,
    pub(crate) net: N,
    pub(crate) spawner: Spawner,
    pub(crate) incarnation: u64,
    /// Unix time at which the process started, in milliseconds.
    pub(crate) started_ms: u64,
    pub(crate) socket: UdpSocket,
    pub(crate) snapshots: Snapshots,
    pub(crate) leaving: CancellationToken,
    /// Incarnations of nodes that did not answer a call.
    pub(crate) unresponsive_owners: mpsc::Receiver<u64>,
    pub(crate) quarantine: Arc<SharedQuarantine>,
    /// Crash-related events that this node has observed in its own traffic.
    pub(crate) crashes_observed: mpsc::Receiver<CrashUpdate>,
    /// Target signals in the answers that this node has relayed.
    pub(crate) signals_observed: mpsc::Receiver<ObservedSignals>,
    /// Outcomes of this node's sends to plain targets.
    pub(crate) observations: Arc<SendObservations>,
    pub(crate) metrics: Metrics,
}

/// State of the control loop.
pub(crate) struct Control<N> {
    pub(super) net: N,
    pub(super) socket: UdpSocket,
    pub(super) heartbeat_port: u16,
    pub(super) peers: PeerClients<N>,
    pub(super) spawner: Spawner,
    pub(super) snapshots: Snapshots,
    pub(super) leaving: CancellationToken,
    pub(super) members: Members,
    pub(super) registry: Registry,
    pub(super) configuration: Option<Arc<Configuration>>,
    pub(super) raw_configuration: Option<Arc<Vec<u8>>>,
    /// Since when another node has known later changes than this one.
    pub(super) behind_since: Option<Instant>,
    /// Whether the log says that this node is behind.
    pub(super) is_lag_reported: bool,
    /// Since when a node at the same store position has had different targets.
    pub(super) differs_since: Option<Instant>,
    pub(super) is_fetching: bool,
    /// When all targets were last fetched from another node.
    pub(super) full_fetch_at: Option<Instant>,
    pub(super) start_gate: StartGate,
    /// Latest known era of the store; each time the store is restored from an older copy a new era
    /// begins.
    pub(super) known_era: Option<StoreEra>,
    /// What the task that reads the store should do.
    pub(super) read_plan: watch::Sender<ReadPlan>,
    /// Enables the probe that detects a rollback of the store.
    pub(super) probe_enabled: watch::Sender<bool>,
    /// Whether this node has read the complete store.
    pub(super) has_listed_store: bool,
    /// Whether the store has stopped answering this node.
    pub(super) is_store_unreachable: bool,
    /// When this node last received an answer from the store.
    pub(super) store_answered_at: Option<Instant>,
    pub(super) unresponsive_owners: mpsc::Receiver<u64>,
    pub(super) quarantine: Arc<SharedQuarantine>,
    pub(super) crashes_observed: mpsc::Receiver<CrashUpdate>,
    pub(super) signals_observed: mpsc::Receiver<ObservedSignals>,
    pub(super) signals: SignalRecords,
    pub(super) signal_gossip: SignalGossip,
    pub(super) observations: Arc<SendObservations>,
    /// Health of plain targets; `None` if nodes don't share it.
    pub(super) health: Option<SharedHealth>,
    /// Results of this node's probes of ejected targets.
    pub(super) probe_results: mpsc::Receiver<ProbeResult>,
    pub(super) probe_results_tx: mpsc::Sender<ProbeResult>,
    pub(super) crash_gossip: CrashGossip,
    pub(super) stored_crashes: StoredCrashes,
    pub(super) node_entries: NodeEntries,
    /// Queue of calls to the store for the node entries.
    pub(super) node_entry_calls: mpsc::Sender<NodeEntryCall>,
    pub(super) own_load: OwnLoad,
    pub(super) load_gossip: LoadGossip,
    /// Queue of crashes to store or to remove from the store.
    pub(super) crash_writes: mpsc::Sender<CrashWrite>,
    pub(super) metrics: Metrics,
    /// Whether there are changes that the latest snapshot does not contain.
    pub(super) has_changes: bool,
    pub(super) published_at: Instant,
}

impl<N: Network> Control<N> {
    /// Spawns the control loop and its store tasks.
    pub(crate) fn spawn(parts: ControlParts<N>) {
        let spawner = parts.spawner.clone();
        let http = HttpClient::new(parts.net.clone(), spawner.clone());
        let store = PlatformStore::new(http, parts.settings.store, STORE_TIMEOUT);
        let (store_tx, store_rx) = mpsc::channel(MAX_WAITING_EVENTS);
        let read_plan = watch::Sender::new(ReadPlan {
            watch_interval: None,
            first_listing: FirstListing::Own,
            position: StorePosition::default(),
        });
        let (crash_writes, crash_writes_rx) = mpsc::channel(MAX_WAITING_CRASHES);
        let (node_entry_calls, entry_calls_rx) = mpsc::channel(MAX_WAITING_ENTRY_CALLS);
        let probe_enabled = watch::Sender::new(false);
        let writing = write_crashes(store.clone(), crash_writes_rx);
        spawner.spawn_essential("crash writer", writing);
        let probing = probe_era(store.clone(), probe_enabled.subscribe());
        spawner.spawn_essential("era probe", probing);
        let ip = parts.settings.ip;
        let entry_calls =
            make_node_entry_calls(store.clone(), ip, entry_calls_rx, store_tx.clone());
        spawner.spawn_essential("node entries", entry_calls);
        let cpu_share = parts.settings.cpu_share;
        let watching = watch_store(store, read_plan.subscribe(), cpu_share, store_tx);
        spawner.spawn_essential("store watch", watching);
        let writes = (crash_writes, node_entry_calls);
        let control = Self::new(parts, read_plan, probe_enabled, writes);
        spawner.spawn_essential("control", control.run(store_rx));
    }

    pub(super) fn new(
        parts: ControlParts<N>,
        read_plan: watch::Sender<ReadPlan>,
        probe_enabled: watch::Sender<bool>,
        (crash_writes, node_entry_calls): (mpsc::Sender<CrashWrite>, mpsc::Sender<NodeEntryCall>),
    ) -> Self {
        let settings = &parts.settings;
        let own = MemberState {
            ip: settings.ip,
            incarnation: parts.incarnation,
            counter: 0,
            started_ms: parts.started_ms,
            cpu_milli: settings.cpu_milli(),
            domain: domain_hash(&settings.domain),
            callers_port: settings.listen.callers.port(),
            configuration: 0,
            targets: StorePosition::default(),
            targets_hash: 0,
            is_settled: false,
            is_leaving: false,
            is_watching: false,
            term: 0,
        };
        let shares_health = settings.features.shared_health;
        let health = shares_health.then(|| SharedHealth::new(Instant::now(), &own));
        let (probe_results_tx, probe_results) = mpsc::channel(MAX_WAITING_PROBES);
        let members = Members::new(Instant::now(), own, settings.peer_port, &settings.seeds);
        Self {
            socket: parts.socket,
            heartbeat_port: settings.heartbeat_port,
            peers: PeerClients::new(parts.net.clone(), parts.spawner.clone()),
            net: parts.net,
            spawner: parts.spawner,
            snapshots: parts.snapshots,
            leaving: parts.leaving,
            members,
            registry: Registry::default(),
            configuration: None,
            raw_configuration: None,
            behind_since: None,
            is_lag_reported: false,
            differs_since: None,
            is_fetching: false,
            full_fetch_at: None,
            start_gate: StartGate::default(),
            known_era: None,
            read_plan,
            probe_enabled,
            has_listed_store: false,
            is_store_unreachable: false,
            store_answered_at: None,
            unresponsive_owners: parts.unresponsive_owners,
            quarantine: parts.quarantine,
            crashes_observed: parts.crashes_observed,
            signals_observed: parts.signals_observed,
            signals: SignalRecords::default(),
            signal_gossip: SignalGossip::default(),
            observations: parts.observations,
            health,
            probe_results,
            probe_results_tx,
            crash_gossip: CrashGossip::default(),
            stored_crashes: StoredCrashes::default(),
            node_entries: NodeEntries::default(),
            node_entry_calls,
            own_load: OwnLoad::new(HostCapacity::new(settings)),
            load_gossip: LoadGossip::default(),
            crash_writes,
            metrics: parts.metrics,
            has_changes: false,
            published_at: Instant::now(),
        }
    }

    async fn run(mut self, mut store: mpsc::Receiver<StoreEvent>) {
        let (fetched_tx, mut fetched_rx) = mpsc::channel(4);
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let leaving = self.leaving.clone();
        let mut buf = [0; MAX_BYTES];
        loop {
            let publish_at = self.published_at + MIN_PUBLISH_INTERVAL;
            let discovery_ends = self.discovery_ends();
            let has_deferred_configuration =
                self.has_deferred_configuration() && Instant::now() < discovery_ends;
            let health_due = self.health_due();
            let changed = tokio::select! {
                received = self.socket.recv_from(&mut buf) => match received {
                    Ok((len, from)) => self.on_datagram(from, &buf[..len]).await,
                    Err(e) => {
                        // An ICMP error for an earlier datagram, sent to a port without a listener,
                        // is reported here.
                        tracing::debug!(part = "control", error = %e, "receiving a datagram failed");
                        false
                    }
                },
                Some(event) = store.recv() => self.on_store_event(event),
                Some(fetched) = fetched_rx.recv() => self.on_fetched(fetched),
                Some(update) = self.crashes_observed.recv() => {
                    self.on_crash_observed(update).await;
                    false
                }
                Some(observed) = self.signals_observed.recv() => self.on_signals_observed(&observed).await,
                () = self.observations.woken() => self.share_health().await,
                Some(result) = self.probe_results.recv() => self.on_probe_result(&result).await,
                () = tokio::time::sleep_until(health_due.unwrap_or(publish_at)), if health_due.is_some() => self.share_health().await,
                Some(node) = self.unresponsive_owners.recv() => self.on_unresponsive_owner(node).await,
                () = leaving.cancelled(), if !self.members.is_leaving() => self.on_leaving(),
                _ = tick.tick() => self.on_tick(&fetched_tx).await,
                () = tokio::time::sleep_until(discovery_ends), if has_deferred_configuration => self.retry_deferred_configuration(),
                // Publishes a change that came within `MIN_PUBLISH_INTERVAL` of the last snapshot
                // without waiting for the next tick: otherwise a node that has just started knows
                // all targets before its traffic does.
                () = tokio::time::sleep_until(publish_at), if self.has_changes => false,
            };
            self.has_changes |= changed;
            if self.has_changes && Instant::now() >= self.published_at + MIN_PUBLISH_INTERVAL {
                self.publish_and_gossip().await;
            }
        }
    }

    async fn on_tick(&mut self, fetched_tx: &mpsc::Sender<Fetched>) -> bool {
        let now = Instant::now();
        self.snapshots.progress().on_check(now);
        let term = self.members.own.term;
        let members_changed = self.members.on_tick(now);
        self.take_over_if_claimed(now, self.members.own.term != term)
            .await;
        self.send_vote(now).await;
        self.gossip_crashes().await;
        self.gossip_signals().await;
        let health_changed = self.on_health_tick().await;
        self.on_load_tick(now).await;
        self.expire_quarantine();
        self.expire_signals(now);
        let mut targets_changed = self.registry.expire_removals(now);
        targets_changed |= self.registry.expire_drains(now);
        targets_changed |= self.registry.expire_cold(now);
        self.update_watch(now);
        let destinations = self.members.heartbeat_destinations();
        if !destinations.is_empty() {
            self.send_heartbeats(now, &destinations).await;
        }
        self.follow_node_entries(now).await;
        self.fetch_if_behind(now, fetched_tx);
        self.report_lag(now);
        self.rewrite_missing_crashes(now);
        self.update_settled(now);
        let has_started_serving = self.retry_deferred_configuration();
        members_changed || targets_changed || health_changed || has_started_serving
    }

    /// Enables or disables the watch and the probe of the store according to this node's rank.
    fn update_watch(&mut self, now: Instant) {
        let role = self.members.watch_role(now);
        let should = role.is_some();
        let plan = ReadPlan {
            watch_interval: role.map(watch_interval),
            first_listing: self.first_listing(now),
            position: self.registry.position(),
        };
        let was_watching = self.read_plan.borrow().watch_interval.is_some();
        self.read_plan.send_if_modified(|known| {
            let before = std::mem::replace(known, plan);
            // A new position alone wakes nobody.
            before.watch_interval != plan.watch_interval
                || before.first_listing != plan.first_listing
        });
        if was_watching != should {
            tracing::info!(
                part = "control",
                watching = should,
                "store watch enabled or disabled"
            );
        }
        let should_probe = should && self.is_owner();
        self.probe_enabled.send_if_modified(|on| {
            let changed = *on != should_probe;
            *on = should_probe;
            changed
        });
        let answered = self.store_answered_at;
        let is_watching = should && answered.is_some_and(|at| now - at < WATCH_FRESH);
        self.members.update_own(|own| own.is_watching = is_watching);
    }

    fn on_leaving(&mut self) -> bool {
        self.members.update_own(|own| own.is_leaving = true);
        true
    }

    pub(super) fn version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |c| c.version.0)
    }
}

fn watch_interval(role: WatchRole) -> Duration {
    match role {
        WatchRole::Leading => LEADING_WATCH_INTERVAL,
        WatchRole::Standby => STANDBY_WATCH_INTERVAL,
    }
}
