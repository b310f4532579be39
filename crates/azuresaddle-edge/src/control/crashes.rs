//! Handles and gossips updates about requests that crash their targets.

use std::net::Ipv4Addr;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_platform::{CrashKey, StoreItem};
use azuresaddle_sched::quarantine::{Crash, CrashStatus, SuccessfulRun, TargetIncarnation};
use tokio::time::Instant;

use super::actor::Control;
use super::crash_writer::CrashWrite;
use super::gossip_queue::GossipQueue;
use super::heartbeat::Datagram;
use crate::quarantine::CrashUpdate;

/// Maximum number of updates in a datagram; each takes at most 31 bytes.
pub(super) const MAX_UPDATES: usize = 40;

/// Queue of updates about crashing requests, for other nodes.
pub(super) type CrashGossip = GossipQueue<CrashUpdate, MAX_UPDATES>;

/// Maximum number of datagrams that inform a new node of the quarantine.
const MAX_QUARANTINE_DATAGRAMS: usize = 4;

/// Time that the owner gets to rewrite crashes that the store has lost before other nodes do.
const NON_OWNER_REWRITE_DELAY: Duration = Duration::from_millis(200);

/// Delay after which rewritten crashes are checked.
const REWRITE_CHECK_DELAY: Duration = Duration::from_millis(1000);

/// Ticks between two cleanups of the quarantine.
const TICKS_PER_CLEANUP: u32 = 100;

impl<N: Network> Control<N> {
    /// Handles an event that this node has observed itself: gossips it, and stores the crashes of a
    /// quarantined request.
    pub(super) async fn on_crash_observed(&mut self, update: CrashUpdate) {
        self.crash_gossip.push(update);
        match update {
            CrashUpdate::Crash(crash) => {
                if self.gossip_if_quarantined(crash.fingerprint) {
                    let known = self.quarantine.crashes_of(crash.fingerprint);
                    self.write_crashes(CrashWrite::Put(known));
                }
            }
            CrashUpdate::SuccessfulRun(run) => self.remove_stored_if_cleared(run.fingerprint),
            CrashUpdate::QuarantineLifted(fingerprint) => {
                self.remove_stored_if_cleared(fingerprint);
            }
        }
        self.gossip_crashes().await;
    }

    /// Applies updates from another node, and relays new ones.
    pub(super) async fn on_crash_gossip(&mut self, from: Ipv4Addr, all: &[CrashUpdate]) {
        let mut has_update = false;
        for update in all {
            let is_new = match update {
                CrashUpdate::Crash(crash) => self.on_gossiped_crash(from, *crash).await,
                CrashUpdate::SuccessfulRun(run) => self.on_gossiped_run(*run),
                CrashUpdate::QuarantineLifted(fingerprint) => {
                    let is_new = self.quarantine.lift_quarantine(*fingerprint);
                    self.remove_stored_if_cleared(*fingerprint);
                    is_new
                }
            };
            if is_new && !self.members.is_mesh() {
                self.crash_gossip.push(*update);
            }
            has_update |= is_new;
        }
        // Further rounds follow with the ticks, since a link that loses one datagram may also lose
        // the next ones.
        if has_update {
            self.gossip_crashes().await;
        }
    }

    fn on_gossiped_run(&mut self, run: SuccessfulRun) -> bool {
        let is_new = self.quarantine.learn_successful_run(run);
        if is_new {
            self.remove_stored_if_cleared(run.fingerprint);
        }
        is_new
    }

    /// Applies a crash from another node, and replies with what that node may not know: that the
    /// request is in quarantine here, or its successful runs.
    async fn on_gossiped_crash(&mut self, from: Ipv4Addr, crash: Crash) -> bool {
        let fingerprint = crash.fingerprint;
        let was_quarantined = self.quarantine.status(fingerprint).is_quarantined();
        if self.quarantine.learn_crash(crash) == CrashStatus::Known {
            return false;
        }
        let successful_runs = self.quarantine.successful_runs_of(fingerprint);
        let successful_runs: Vec<CrashUpdate> = successful_runs
            .into_iter()
            .map(CrashUpdate::SuccessfulRun)
            .collect();
        self.send_crash_updates(from, &successful_runs).await;
        if was_quarantined {
            let known = self.quarantine.crashes_of(fingerprint);
            self.send_crashes(from, &known).await;
        } else if self.gossip_if_quarantined(fingerprint) && self.is_owner() {
            // Each node may have seen only one crash and stored none.
            let known = self.quarantine.crashes_of(fingerprint);
            self.write_crashes(CrashWrite::Put(known));
        }
        true
    }

    /// Gossips all crashes of a quarantined request, so that a node that knows a successful
    /// run of it can reply with that; true if the request is in quarantine.
    fn gossip_if_quarantined(&mut self, fingerprint: Fingerprint) -> bool {
        let is_quarantined = self.quarantine.status(fingerprint).is_quarantined();
        if is_quarantined {
            for crash in self.quarantine.crashes_of(fingerprint) {
                self.crash_gossip.push(CrashUpdate::Crash(crash));
            }
        }
        is_quarantined
    }

    /// Removes the crashes of a request that is no longer in quarantine from the store; only the
    /// owner does so.
    fn remove_stored_if_cleared(&mut self, fingerprint: Fingerprint) {
        if !self.is_owner() || self.quarantine.status(fingerprint).is_quarantined() {
            return;
        }
        let stored = self.stored_crashes.of_request(fingerprint);
        if !stored.is_empty() {
            self.write_crashes(CrashWrite::Remove(stored));
        }
    }

    /// Applies a crash entry of the store. A removed entry does not lift a quarantine: entries
    /// expire with their lease, also in an outage, and the quarantine expires on its own.
    pub(super) fn on_crash_item(&mut self, now: Instant, item: &StoreItem) {
        let Some(key) = CrashKey::decode(&item.key) else {
            tracing::warn!(part = "control", key = item.key, "crash entry not readable");
            return;
        };
        if item.value.is_none() {
            self.stored_crashes.remove(key);
            self.schedule_stored_crash_check(now);
            return;
        }
        self.stored_crashes.insert(key);
        let crash = Crash {
            fingerprint: key.fingerprint,
            target: TargetIncarnation {
                target: key.target,
                number: key.incarnation,
            },
        };
        if self.quarantine.learn_crash(crash) == CrashStatus::New && !self.members.is_mesh() {
            // Most nodes of a larger fleet do not watch the store.
            self.crash_gossip.push(CrashUpdate::Crash(crash));
        }
    }

    /// Informs a new node of the requests in quarantine.
    pub(super) async fn send_quarantine(&self, ip: Ipv4Addr) {
        let known = self.quarantine.quarantined();
        let most = known.len().min(MAX_QUARANTINE_DATAGRAMS * MAX_UPDATES);
        self.send_crashes(ip, &known[..most]).await;
    }

    /// Records from a complete listing which crashes the store contains.
    pub(super) fn on_crash_listing(&mut self, now: Instant, items: &[StoreItem]) {
        let keys = items.iter().filter_map(|i| CrashKey::decode(&i.key));
        self.stored_crashes.replace(keys);
        self.schedule_stored_crash_check(now);
    }

    /// Schedules a check for quarantined requests that the store has lost. The owner checks first,
    /// so that only one node writes.
    fn schedule_stored_crash_check(&mut self, now: Instant) {
        let delay = if self.is_owner() {
            Duration::ZERO
        } else {
            NON_OWNER_REWRITE_DELAY
        };
        self.stored_crashes.schedule_check(now + delay);
    }

    /// Rewrites crashes of quarantined requests that the store has lost, by expired leases in an
    /// outage or by a rollback to an older copy.
    pub(super) fn rewrite_missing_crashes(&mut self, now: Instant) {
        if !self.stored_crashes.take_due_check(now) {
            return;
        }
        let missing = self.stored_crashes.missing(self.quarantine.quarantined());
        if missing.is_empty() {
            return;
        }
        tracing::info!(
            part = "control",
            crashes = missing.len(),
            "rewriting crashes that the store has lost"
        );
        self.write_crashes(CrashWrite::Put(missing));
        self.stored_crashes
            .schedule_check(now + REWRITE_CHECK_DELAY);
    }

    /// Returns whether this node is the owner, which places streams.
    pub(super) fn is_owner(&self) -> bool {
        let (_, owner) = self.members.live_nodes(Instant::now());
        owner == self.members.incarnation()
    }

    /// Gossips the next round of updates.
    pub(super) async fn gossip_crashes(&mut self) {
        let updates = self.crash_gossip.next_round();
        if updates.is_empty() {
            return;
        }
        let bytes = Datagram::Crashes(updates).encode();
        let to = if self.members.is_mesh() {
            self.members.alive_hosts(Instant::now())
        } else {
            self.members.gossip_peers()
        };
        for ip in to {
            self.send_to(ip, &bytes).await;
        }
    }

    /// Removes expired quarantine records, at intervals.
    pub(super) fn expire_quarantine(&self) {
        if self.members.ticks.is_multiple_of(TICKS_PER_CLEANUP) {
            self.quarantine.remove_expired();
        }
    }

    async fn send_crashes(&self, ip: Ipv4Addr, crashes: &[Crash]) {
        let updates: Vec<CrashUpdate> = crashes.iter().copied().map(CrashUpdate::Crash).collect();
        self.send_crash_updates(ip, &updates).await;
    }

    async fn send_crash_updates(&self, ip: Ipv4Addr, updates: &[CrashUpdate]) {
        for some in updates.chunks(MAX_UPDATES) {
            let datagram = Datagram::Crashes(some.to_vec());
            self.send_to(ip, &datagram.encode()).await;
        }
    }

    fn write_crashes(&self, write: CrashWrite) {
        if self.crash_writes.try_send(write).is_err() {
            tracing::warn!(part = "control", "crashes not stored: write queue is full");
        }
    }
}
