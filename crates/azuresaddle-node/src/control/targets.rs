//! Keeps the targets of the owned pools current by polls and stream listings.

use std::collections::BTreeSet;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::{CacheEvent, Outcome, TargetSpec};
use azuresaddle_store::unix_ms;
use tokio::time::Instant;

use super::actor::Control;
use super::command::Command;
use crate::engine::wire::{CacheListing, LoadReport, StreamList};

/// Interval at which each target's load is polled.
const POLL_INTERVAL: Duration = Duration::from_secs(4);

/// Interval at which each target lists its streams, to find differences from the ledger.
const LISTING_INTERVAL: Duration = Duration::from_secs(15);

/// Age above which a reservation is dropped if its target does not list it.
const MIN_LISTED_AGE: Duration = Duration::from_secs(5);

impl<N: Network> Control<N> {
    /// Updates the targets of the owned pools from the host list and the planned stops.
    ///
    /// A target gets no new requests until it has listed its streams.
    pub(super) fn sync_targets(&mut self, now: Instant) {
        let now_unix_ms = unix_ms();
        for (id, owned) in &mut self.owned {
            let listed = self.hosts.pools.get(id);
            let wanted: BTreeSet<_> = listed.into_iter().flatten().cloned().collect();
            let known: Vec<_> = owned.pool.target_names().cloned().collect();
            for name in known.iter().filter(|name| !wanted.contains(*name)) {
                owned.pool.remove_target(now, name);
                owned.listed.remove(name);
            }
            for name in wanted {
                let Some(engine) = self.hosts.engines.get(&name) else {
                    continue;
                };
                let spec = TargetSpec {
                    name: name.clone(),
                    memory_tokens: engine.memory_tokens,
                };
                owned.pool.upsert_target(now, spec);
                let stopping = self.rules.document.is_stopping(&name, now_unix_ms);
                let unlisted = !owned.listed.contains_key(&name);
                owned
                    .pool
                    .set_leaving(&name, engine.leaving || stopping || unlisted);
            }
        }
    }

    /// Whether a target gets no new requests because its host is about to stop.
    pub(super) fn is_leaving(&self, name: &HostName) -> bool {
        let listed = self.hosts.engines.get(name).is_some_and(|e| e.leaving);
        listed || self.rules.document.is_stopping(name, unix_ms())
    }

    pub(super) fn poll_targets(&mut self, now: Instant) {
        if self.last_poll.is_some_and(|at| now - at < POLL_INTERVAL) {
            return;
        }
        self.last_poll = Some(now);
        self.sync_targets(now);
        for owned in self.owned.values() {
            for name in owned.pool.target_names() {
                let last = owned.listed.get(name);
                if last.is_none_or(|at| now - *at > LISTING_INTERVAL) {
                    self.spawn_stream_listing(name);
                }
                let seen = owned.cache_sequences.get(name).copied();
                self.spawn_poll(name, seen);
            }
        }
    }

    fn spawn_stream_listing(&self, name: &HostName) {
        let Some(engine) = self.hosts.engines.get(name) else {
            return;
        };
        let engines = self.engines.clone();
        let (name, addr) = (name.clone(), engine.addr);
        let sent_at = Instant::now();
        self.spawn_command(async move {
            let list = engines.streams(addr).await.ok()?;
            Some(Command::StreamListing(name, list, sent_at))
        });
    }

    /// Reads a target's load and, if its prefix cache has changed, the changes.
    fn spawn_poll(&self, name: &HostName, last_cache_sequence: Option<u64>) {
        let Some(engine) = self.hosts.engines.get(name) else {
            return;
        };
        let engines = self.engines.clone();
        let (name, addr) = (name.clone(), engine.addr);
        let tx = self.parts.tx.clone();
        self.spawn_command(async move {
            let report = engines.load(addr).await.ok();
            let sequence = report.as_ref().map(|r| r.cache_sequence);
            let _ = tx.send(Command::Load(name.clone(), report)).await;
            let sequence = sequence?;
            match last_cache_sequence {
                Some(seen) if seen >= sequence => None,
                Some(seen) => {
                    let changes = engines.cache_changes(addr, seen).await.ok()?;
                    Some(Command::CacheEvents(name, changes.events))
                }
                None => {
                    let listing = engines.cache_listing(addr).await.ok()?;
                    Some(Command::CacheListing(name, listing))
                }
            }
        });
    }

    pub(super) fn on_load(&mut self, now: Instant, name: &HostName, report: Option<LoadReport>) {
        for owned in self.owned.values_mut() {
            match &report {
                Some(report) => owned.pool.on_incarnation(now, name, report.incarnation),
                None => owned.pool.on_target_unreachable(now, name),
            }
        }
    }

    /// Adds streams that are missing in the ledger, and drops reservations that are missing on the
    /// target.
    pub(super) fn on_stream_listing(
        &mut self,
        now: Instant,
        name: &HostName,
        list: StreamList,
        sent_at: Instant,
    ) {
        for owned in self.owned.values_mut() {
            if !owned.pool.target_names().any(|known| known == name) {
                continue;
            }
            owned.pool.on_incarnation(now, name, list.incarnation);
            owned.listed.insert(name.clone(), now);
            for live in &list.streams {
                // A stream that ended while the listing was in transit is cancelled later, as no
                // node reports it as in use.
                owned.pool.adopt(now, name, live);
                owned.last_in_use.entry(live.stream).or_insert(now);
            }
            for stream in owned
                .pool
                .missing_on(sent_at, name, &list.streams, MIN_LISTED_AGE)
            {
                tracing::warn!("owner: {name} does not list {stream}, dropping its reservation");
                owned.pool.on_end(now, stream, Outcome::Cancelled);
                owned.remove_attempt(stream);
            }
        }
        self.sync_targets(now);
        self.dispatch_all();
    }

    pub(super) fn on_cache_listing(&mut self, name: &HostName, listing: CacheListing) {
        for owned in self.owned.values_mut() {
            let blocks = listing.blocks.iter().copied();
            owned.pool.on_cache_listing(name, listing.sequence, blocks);
            owned.cache_sequences.insert(name.clone(), listing.sequence);
        }
    }

    pub(super) fn on_cache_events(&mut self, name: &HostName, events: Vec<CacheEvent>) {
        for owned in self.owned.values_mut() {
            for event in &events {
                if owned.pool.on_cache_event(name, *event) {
                    // Events are missing; the next poll fetches a full listing.
                    owned.cache_sequences.remove(name);
                    break;
                }
                owned.cache_sequences.insert(name.clone(), event.sequence);
            }
        }
    }
}
