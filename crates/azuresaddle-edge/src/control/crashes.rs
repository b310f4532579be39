//! What control does with news of requests that crash their targets.

use std::net::Ipv4Addr;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_platform::{CrashKey, Item};
use azuresaddle_sched::quarantine::{Crash, Learned, TargetLife};
use tokio::time::Instant;

use super::actor::Control;
use super::crash_spread::MAX_NEWS;
use super::crash_writer::CrashWrite;
use super::heartbeat::Datagram;
use crate::quarantine::CrashNews;

/// Crashes of a request from which on they are written to the store. Nearly all requests that something is held
/// against are sound ones which were on a target beside another, and have one.
const CRASHES_TO_WRITE: usize = 2;

/// Most datagrams that tell a node what is in quarantine.
const MAX_GREETINGS: usize = 4;

/// Time that the node which places has to write again what the store has lost, before others do.
const OTHERS_REWRITE_AFTER: Duration = Duration::from_millis(200);

/// Time after which what was written again is looked for.
const REWRITE_CHECKED_AFTER: Duration = Duration::from_millis(1000);

/// Ticks between two looks for records that have ended.
const TICKS_PER_CLEANUP: u32 = 100;

impl<N: Network> Control<N> {
    /// Takes what this node has seen itself: all are told, and the store keeps what may become a quarantine.
    pub(super) async fn on_crash_seen(&mut self, news: CrashNews) {
        self.crash_spread.push(news);
        match news {
            CrashNews::Crash(crash) => {
                let known = self.quarantine.crashes_of(crash.fingerprint);
                if known.len() >= CRASHES_TO_WRITE {
                    self.write_crashes(CrashWrite::Keep(known));
                }
                self.tell_again_if_quarantined(crash.fingerprint);
            }
            CrashNews::GoodEnd(request) => self.write_crashes(CrashWrite::Forget(request)),
        }
        self.tell_crashes().await;
    }

    /// Takes news from another node, and passes on what is new.
    pub(super) async fn on_crashes_told(&mut self, from: Ipv4Addr, all: &[CrashNews]) {
        let mut has_news = false;
        for news in all {
            let is_new = match news {
                CrashNews::Crash(crash) => self.on_crash_told(from, *crash).await,
                CrashNews::GoodEnd(request) => self.quarantine.learn_good_end(*request),
            };
            if is_new && !self.members.is_mesh() {
                self.crash_spread.push(*news);
            }
            has_news |= is_new;
        }
        // The later rounds come with the ticks: a link that loses one datagram may lose the next ones too.
        if has_news {
            self.tell_crashes().await;
        }
    }

    /// Takes a crash from another node, which is told what it may not know: that the request is in quarantine here, or
    /// that it came to a good end.
    async fn on_crash_told(&mut self, from: Ipv4Addr, crash: Crash) -> bool {
        let request = crash.fingerprint;
        let was_quarantined = self.quarantine.standing(request).is_quarantined();
        match self.quarantine.learn_crash(crash) {
            Learned::Known => false,
            Learned::Settled => {
                let news = vec![CrashNews::GoodEnd(request)];
                self.send_to(from, &Datagram::Crashes(news).encode()).await;
                false
            }
            Learned::New => {
                let known = self.quarantine.crashes_of(request);
                if was_quarantined {
                    self.send_crashes(from, &known).await;
                } else if self.tell_again_if_quarantined(request) && self.places_streams() {
                    // Others may have seen one crash each, and written none.
                    self.write_crashes(CrashWrite::Keep(known));
                }
                true
            }
        }
    }

    /// Tells all crashes of a request that has just come into quarantine: a node that has seen it end well objects.
    fn tell_again_if_quarantined(&mut self, request: Fingerprint) -> bool {
        let is_quarantined = self.quarantine.standing(request).is_quarantined();
        if is_quarantined {
            for crash in self.quarantine.crashes_of(request) {
                self.crash_spread.push(CrashNews::Crash(crash));
            }
        }
        is_quarantined
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
            target: TargetLife {
                target: key.target,
                number: key.life,
            },
        };
        if self.quarantine.learn_crash(crash) == Learned::New && !self.members.is_mesh() {
            // Most nodes of a larger fleet don't follow the store.
            self.crash_spread.push(CrashNews::Crash(crash));
        }
    }

    /// Tells a node that has just come what is in quarantine.
    pub(super) async fn greet(&self, ip: Ipv4Addr) {
        let known = self.quarantine.quarantined();
        let most = known.len().min(MAX_GREETINGS * MAX_NEWS);
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

    /// Tells the next round of news.
    pub(super) async fn tell_crashes(&mut self) {
        let news = self.crash_spread.next_round();
        if news.is_empty() {
            return;
        }
        let bytes = Datagram::Crashes(news).encode();
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
        for some in crashes.chunks(MAX_NEWS) {
            let news = some.iter().copied().map(CrashNews::Crash).collect();
            self.send_to(ip, &Datagram::Crashes(news).encode()).await;
        }
    }

    fn write_crashes(&self, write: CrashWrite) {
        if self.crash_writes.try_send(write).is_err() {
            tracing::warn!(part = "control", "crashes not written, queue full");
        }
    }
}
