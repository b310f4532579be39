//! What control does with updates on requests that crash their targets.

use std::net::Ipv4Addr;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_platform::{CrashKey, Item};
use azuresaddle_sched::quarantine::{Crash, CrashStatus, SuccessfulRun, TargetIncarnation};
use tokio::time::Instant;

use super::actor::Control;
use super::crash_writer::CrashWrite;
use super::heartbeat::Datagram;
use super::update_spread::UpdateSpread;
use crate::quarantine::CrashUpdate;

/// Most updates in a datagram, each of at most 31 bytes.
pub(super) const MAX_UPDATES: usize = 40;

/// Updates on requests that crash their targets, for other nodes.
pub(super) type CrashSpread = UpdateSpread<CrashUpdate, MAX_UPDATES>;

/// Most datagrams that tell a node what is in quarantine.
const MAX_GREETINGS: usize = 4;

/// Time that the node which places has to write again what the store has lost, before others do.
const OTHERS_REWRITE_AFTER: Duration = Duration::from_millis(200);

/// Time after which what was written again is looked for.
const REWRITE_CHECKED_AFTER: Duration = Duration::from_millis(1000);

/// Ticks between two looks for records that have ended.
const TICKS_PER_CLEANUP: u32 = 100;

impl<N: Network> Control<N> {
    /// Takes what this node has seen itself: all are told, and the store keeps what is in quarantine.
    pub(super) async fn on_crash_seen(&mut self, update: CrashUpdate) {
        self.crash_spread.push(update);
        match update {
            CrashUpdate::Crash(crash) => {
                if self.tell_again_if_quarantined(crash.fingerprint) {
                    let known = self.quarantine.crashes_of(crash.fingerprint);
                    self.write_crashes(CrashWrite::Keep(known));
                }
            }
            CrashUpdate::GoodEnd(end) => self.forget_if_clear(end.fingerprint),
            CrashUpdate::Pardon(request) => self.forget_if_clear(request),
        }
        self.tell_crashes().await;
    }

    /// Takes updates from another node, and passes on what is new.
    pub(super) async fn on_crashes_told(&mut self, from: Ipv4Addr, all: &[CrashUpdate]) {
        let mut has_update = false;
        for update in all {
            let is_new = match update {
                CrashUpdate::Crash(crash) => self.on_crash_told(from, *crash).await,
                CrashUpdate::GoodEnd(end) => self.on_good_end_told(*end),
                CrashUpdate::Pardon(request) => {
                    let is_new = self.quarantine.pardon(*request);
                    self.forget_if_clear(*request);
                    is_new
                }
            };
            if is_new && !self.members.is_mesh() {
                self.crash_spread.push(*update);
            }
            has_update |= is_new;
        }
        // The later rounds come with the ticks: a link that loses one datagram may lose the next ones too.
        if has_update {
            self.tell_crashes().await;
        }
    }

    fn on_good_end_told(&mut self, end: SuccessfulRun) -> bool {
        let is_new = self.quarantine.learn_good_end(end);
        if is_new {
            self.forget_if_clear(end.fingerprint);
        }
        is_new
    }

    /// Takes a crash from another node, which is told what it may not know: that the request is in quarantine here, or
    /// which of its runs came to a good end.
    async fn on_crash_told(&mut self, from: Ipv4Addr, crash: Crash) -> bool {
        let request = crash.fingerprint;
        let was_quarantined = self.quarantine.standing(request).is_quarantined();
        if self.quarantine.learn_crash(crash) == CrashStatus::Known {
            return false;
        }
        let good_ends = self.quarantine.good_ends_of(request);
        let good_ends: Vec<CrashUpdate> = good_ends.into_iter().map(CrashUpdate::GoodEnd).collect();
        self.send_crash_updates(from, &good_ends).await;
        if was_quarantined {
            let known = self.quarantine.crashes_of(request);
            self.send_crashes(from, &known).await;
        } else if self.tell_again_if_quarantined(request) && self.places_streams() {
            // Others may have seen one crash each, and written none.
            let known = self.quarantine.crashes_of(request);
            self.write_crashes(CrashWrite::Keep(known));
        }
        true
    }

    /// Tells all crashes of a request that is in quarantine: a node that has seen it end well objects.
    fn tell_again_if_quarantined(&mut self, request: Fingerprint) -> bool {
        let is_quarantined = self.quarantine.standing(request).is_quarantined();
        if is_quarantined {
            for crash in self.quarantine.crashes_of(request) {
                self.crash_spread.push(CrashUpdate::Crash(crash));
            }
        }
        is_quarantined
    }

    /// Lets the store forget a request that is no longer in quarantine; one node does.
    fn forget_if_clear(&mut self, request: Fingerprint) {
        if !self.places_streams() || self.quarantine.standing(request).is_quarantined() {
            return;
        }
        let stored = self.stored_crashes.of(request);
        if !stored.is_empty() {
            self.write_crashes(CrashWrite::Remove(stored));
        }
    }

    /// Takes an entry of the store. A removed one settles nothing: entries end with their lease, also in an
    /// outage, and what is known here ends by itself.
    pub(super) fn on_crash_item(&mut self, now: Instant, item: &Item) {
        let Some(key) = CrashKey::decode(&item.key) else {
            tracing::warn!(part = "control", key = item.key, "crash entry not readable");
            return;
        };
        if item.value.is_none() {
            self.stored_crashes.remove(key);
            self.check_stored_crashes_soon(now);
            return;
        }
        self.stored_crashes.insert(key);
        let crash = Crash {
            fingerprint: key.request,
            target: TargetIncarnation {
                target: key.target,
                number: key.life,
            },
        };
        if self.quarantine.learn_crash(crash) == CrashStatus::New && !self.members.is_mesh() {
            // Most nodes of a larger fleet don't follow the store.
            self.crash_spread.push(CrashUpdate::Crash(crash));
        }
    }

    /// Tells a node that has just come what is in quarantine.
    pub(super) async fn greet(&self, ip: Ipv4Addr) {
        let known = self.quarantine.quarantined();
        let most = known.len().min(MAX_GREETINGS * MAX_UPDATES);
        self.send_crashes(ip, &known[..most]).await;
    }

    /// Takes which crashes the store keeps from a listing of all of its items.
    pub(super) fn on_crash_listing(&mut self, now: Instant, items: &[Item]) {
        let keys = items.iter().filter_map(|i| CrashKey::decode(&i.key));
        self.stored_crashes.replace(keys);
        self.check_stored_crashes_soon(now);
    }

    /// Looks soon whether the store has lost what is in quarantine; the node that places looks first, so that one
    /// node writes.
    fn check_stored_crashes_soon(&mut self, now: Instant) {
        let delay = if self.places_streams() {
            Duration::ZERO
        } else {
            OTHERS_REWRITE_AFTER
        };
        self.stored_crashes.check_at(now + delay);
    }

    /// Writes again what is in quarantine and the store has lost: with its leases in an outage, or by going back to an
    /// older copy.
    pub(super) fn rewrite_lost_crashes(&mut self, now: Instant) {
        if !self.stored_crashes.is_due(now) {
            return;
        }
        let missing = self.stored_crashes.missing(self.quarantine.quarantined());
        if missing.is_empty() {
            return;
        }
        tracing::info!(
            part = "control",
            crashes = missing.len(),
            "crashes written again"
        );
        self.write_crashes(CrashWrite::Keep(missing));
        self.stored_crashes.check_at(now + REWRITE_CHECKED_AFTER);
    }

    /// Whether this node places streams.
    pub(super) fn places_streams(&self) -> bool {
        let (_, owner) = self.members.live(Instant::now());
        owner == self.members.incarnation()
    }

    /// Tells the next round of updates.
    pub(super) async fn tell_crashes(&mut self) {
        let updates = self.crash_spread.next_round();
        if updates.is_empty() {
            return;
        }
        let bytes = Datagram::Crashes(updates).encode();
        let to = if self.members.is_mesh() {
            self.members.alive_hosts(Instant::now())
        } else {
            self.members.partners()
        };
        for ip in to {
            self.send_to(ip, &bytes).await;
        }
    }

    /// Forgets what has ended, now and then.
    pub(super) fn clean_quarantine(&self) {
        if self.members.ticks.is_multiple_of(TICKS_PER_CLEANUP) {
            self.quarantine.forget_old();
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
            tracing::warn!(part = "control", "crashes not written, queue full");
        }
    }
}
