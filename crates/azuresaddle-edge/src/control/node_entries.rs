//! Node entries in the store, by which nodes find each other that no seed leads to.
//!
//! Guards against nodes that replace all seeds at once: the others don't know their addresses, and
//! each of them would be alone for good. So one node of those that know each other keeps an entry in
//! the store, and each node that reads an entry of an unknown node sends it heartbeats. Nodes that
//! don't know each other have an entry each, so one side is enough to read the other's.
//!
//! An entry is a hint only: whoever may have written it, what follows is a heartbeat to its address.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use azuresaddle_core::bounded_time::scaled;
use azuresaddle_core::prelude::*;
use azuresaddle_platform::{KeyKind, NodeKey, StoreItem, StorePosition, key_kind};
use rand::Rng;
use tokio::time::Instant;

use super::actor::Control;
use super::heartbeat::Datagram;
use super::members::{Members, TICK};

/// Time for which this node watches the store before it reads the entries that it may have missed:
/// many nodes of a fleet that starts watch only until they know the others.
const READ_DELAY: Duration = Duration::from_millis(1000);

/// Time for which no entry names a live node before this node writes its own: enough for a node that
/// has just started to hear of the others. It is varied by as much again, so that hundreds of nodes
/// that start without seeds do not all write.
const WRITE_DELAY: Duration = Duration::from_millis(1000);

/// Additional delay for each watching node that ranks above this one.
const RANK_DELAY: Duration = Duration::from_millis(2000);

/// Delay before the next attempt if an entry that was written does not appear, or none was read; it
/// doubles with each attempt.
const FIRST_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Maximum number of times that the delay doubles.
const MAX_DOUBLINGS: u32 = 4;

/// Interval between two renewals of an entry: a third of its TTL.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(200);

/// Maximum delay between two heartbeats to the address of an entry that does not answer.
const MAX_CONTACT_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum number of entries that are considered, the latest ones. One node writes at a time, but
/// entries remain until their lease ends, and other writers may use the prefix.
const MAX_ENTRIES: usize = 16;

/// Call to the store for the node entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NodeEntryCall {
    /// Read all entries.
    Read,
    /// Write this node's entry under a new lease.
    Write,
    /// Renew the lease of this node's entry.
    Renew,
}

/// Node entries that this node has read, and what it does about them.
#[derive(Debug, Default)]
pub(super) struct NodeEntries {
    entries: HashMap<Ipv4Addr, Entry>,
    /// Whether these are all entries of the store.
    is_complete: bool,
    /// Since when a call has been due, with the random part of its delay.
    due: Option<Due>,
    /// Number of calls without the intended effect.
    attempts: u32,
    /// When this node last wrote or renewed its entry.
    renewed_at: Option<Instant>,
}

#[derive(Debug)]
struct Entry {
    position: StorePosition,
    /// Delay before the next heartbeat to the address, and when it is due.
    contact_interval: Duration,
    contact_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Due {
    since: Instant,
    delay: Duration,
}

impl NodeEntries {
    /// Replaces the entries with those of a complete listing.
    pub(super) fn replace<'a>(&mut self, items: impl Iterator<Item = &'a StoreItem>) {
        let mut known = std::mem::take(&mut self.entries);
        for item in items {
            self.apply(item);
        }
        for (ip, entry) in &mut self.entries {
            if let Some(before) = known.remove(ip) {
                entry.contact_interval = before.contact_interval;
                entry.contact_at = before.contact_at;
            }
        }
        self.on_complete();
    }

    /// Applies an entry that was written or removed.
    pub(super) fn apply(&mut self, item: &StoreItem) {
        let Some(NodeKey { ip }) = NodeKey::decode(&item.key) else {
            tracing::warn!(part = "control", key = item.key, "node entry not readable");
            return;
        };
        if item.value.is_none() {
            self.entries.remove(&ip);
            return;
        }
        if ip.is_unspecified() || ip.is_broadcast() || ip.is_multicast() {
            return;
        }
        let entry = self.entries.entry(ip).or_insert(Entry {
            position: item.position,
            contact_interval: TICK,
            contact_at: None,
        });
        entry.position = item.position;
        if self.entries.len() > MAX_ENTRIES {
            let oldest = self.entries.iter().min_by_key(|(_, e)| e.position);
            let oldest = oldest.map(|(ip, _)| *ip);
            oldest.and_then(|ip| self.entries.remove(&ip));
        }
    }

    /// Records that the known entries are all those of the store.
    pub(super) fn on_complete(&mut self) {
        self.is_complete = true;
        self.attempts = 0;
        self.due = None;
    }

    /// Forgets the entries once this node no longer follows the store.
    pub(super) fn on_watch_ended(&mut self) {
        *self = Self {
            renewed_at: self.renewed_at,
            ..Self::default()
        };
    }

    /// Hosts to send a heartbeat to: those of entries whose nodes this node does not hear. Of nodes that
    /// know others, only those that watch the store send any: the others hear from them.
    pub(super) fn contacts(
        &mut self,
        now: Instant,
        members: &Members,
        is_watcher: bool,
    ) -> Vec<Ipv4Addr> {
        let mut due = Vec::new();
        if members.is_leaving() || !(is_watcher || members.is_alone(now)) {
            return due;
        }
        for (ip, entry) in &mut self.entries {
            if members.is_live(now, *ip) {
                entry.contact_interval = TICK;
            } else if entry.contact_at.is_none_or(|at| now >= at) {
                due.push(*ip);
                entry.contact_at = Some(now + entry.contact_interval);
                entry.contact_interval = (entry.contact_interval * 2).min(MAX_CONTACT_INTERVAL);
            }
        }
        due
    }

    /// Returns the call to make now, if any. Only nodes that get answers from the store make calls.
    pub(super) fn next_call(
        &mut self,
        now: Instant,
        members: &mut Members,
    ) -> Option<NodeEntryCall> {
        let Some(rank) = members.watcher_rank(now) else {
            self.due = None;
            return None;
        };
        if !self.is_complete {
            return self.when_due(now, || READ_DELAY, NodeEntryCall::Read);
        }
        let own = members.own.ip;
        if let Some(holder) = members.first_ranked(now, |ip| self.entries.contains_key(&ip)) {
            self.due = None;
            self.attempts = 0;
            return self.renewal(now, holder == own);
        }
        let delay = || {
            let jitter = members.rng.random_range(1.0..2.0);
            scaled(WRITE_DELAY, jitter) + RANK_DELAY * rank
        };
        let call = self.when_due(now, delay, NodeEntryCall::Write);
        if call.is_some() {
            self.renewed_at = Some(now);
        }
        call
    }

    /// Returns a call once it has been due for the delay, which is determined when it becomes due.
    fn when_due(
        &mut self,
        now: Instant,
        delay: impl FnOnce() -> Duration,
        call: NodeEntryCall,
    ) -> Option<NodeEntryCall> {
        let due = self.due.get_or_insert_with(|| Due {
            since: now,
            delay: delay(),
        });
        if now.saturating_duration_since(due.since) < due.delay {
            return None;
        }
        self.due = Some(Due {
            since: now,
            delay: FIRST_RETRY_DELAY * (1 << self.attempts.min(MAX_DOUBLINGS)),
        });
        self.attempts += 1;
        Some(call)
    }

    /// Renews the entry of a node that has written it and ranks first of those with an entry.
    fn renewal(&mut self, now: Instant, is_first: bool) -> Option<NodeEntryCall> {
        let renewed_at = self.renewed_at?;
        if !is_first || now.saturating_duration_since(renewed_at) < RENEWAL_INTERVAL {
            return None;
        }
        self.renewed_at = Some(now);
        Some(NodeEntryCall::Renew)
    }
}

impl<N: Network> Control<N> {
    /// Records from a complete listing which nodes have entries.
    pub(super) fn on_node_listing(&mut self, items: &[StoreItem]) {
        let entries = items.iter().filter(|i| key_kind(&i.key) == KeyKind::Node);
        self.node_entries.replace(entries);
    }

    /// Sends heartbeats to nodes that are known by their entries only, and keeps an entry for them.
    pub(super) async fn follow_node_entries(&mut self, now: Instant) {
        let is_watcher = self.read_plan.borrow().watch_interval.is_some();
        if !is_watcher && !self.members.is_mesh() {
            self.node_entries.on_watch_ended();
            return;
        }
        let contacts = self.node_entries.contacts(now, &self.members, is_watcher);
        if !contacts.is_empty() {
            let bytes = Datagram::Heartbeat(self.members.bare_heartbeat()).encode();
            for ip in contacts {
                self.send_to(ip, &bytes).await;
            }
        }
        let call = self.node_entries.next_call(now, &mut self.members);
        if let Some(call) = call
            && self.node_entry_calls.try_send(call).is_err()
        {
            tracing::warn!(
                part = "control",
                ?call,
                "node entry call not made: the last one is pending"
            );
        }
    }
}
