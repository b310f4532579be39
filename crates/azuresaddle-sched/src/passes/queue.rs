//! Queue of requests that wait for engines.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::request::{PlacementId, PlacementRequest};
use crate::fair_clock::FairTag;

/// Sort key of a waiting request: its position, then its arrival number.
type QueueKey = (QueuePosition, u64);

/// Position of a request in the queue; all short prompts come before all long ones, and among each
/// of them more urgent ones before less urgent ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    is_long: bool,
    priority: u8,
    micros: u64,
}

impl QueuePosition {
    /// Priority in the queue; 0 comes first.
    pub(super) fn priority(self) -> u8 {
        self.priority
    }

    /// Position before all long prompts.
    pub(super) const FIRST_LONG: Self = Self {
        is_long: true,
        priority: 0,
        micros: 0,
    };

    /// Creates a position among the short or the long prompts; the lowest `priority` comes
    /// first, and then the lowest `key`.
    pub(super) fn new(is_long: bool, priority: u8, key: f64) -> Self {
        // Millionths preserve the order of requests that differ by a few tokens.
        let micros = (key * 1e6) as u64;
        Self {
            is_long,
            priority,
            micros,
        }
    }
}

/// A waiting request.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) request: PlacementRequest,
    /// Time to prefill the prompt on one engine, in milliseconds.
    pub(super) prefill_ms: f64,
    pub(super) position: QueuePosition,
    /// Its position in the fair queueing among client accounts.
    pub(super) fair_tag: FairTag,
    pub(super) queued_at: Instant,
}

/// Waiting requests of one client account.
#[derive(Clone, Copy, Debug)]
pub(super) struct AccountQueue {
    pub(super) count: usize,
    /// Start of the current period with at least one waiting request.
    pub(super) since: Instant,
}

/// Upper bound for [`Queue::count_before`]. A crowd is far smaller, and counting must stay cheap.
const MAX_COUNTED: usize = 256;

/// Waiting requests in queue order.
#[derive(Debug, Default)]
pub(super) struct Queue {
    by_key: BTreeMap<QueueKey, Waiting>,
    keys: HashMap<PlacementId, QueueKey>,
    arrivals: u64,
    by_account: HashMap<ClientAccount, AccountQueue>,
}

impl Queue {
    pub(super) fn push(&mut self, waiting: Waiting) {
        self.arrivals += 1;
        let key = (waiting.position, self.arrivals);
        self.keys.insert(waiting.request.id, key);
        let first = AccountQueue {
            count: 0,
            since: waiting.queued_at,
        };
        let account = waiting.request.account.clone();
        self.by_account.entry(account).or_insert(first).count += 1;
        self.by_key.insert(key, waiting);
    }

    pub(super) fn remove(&mut self, id: PlacementId) -> Option<Waiting> {
        let key = self.keys.remove(&id)?;
        let waiting = self.by_key.remove(&key)?;
        let account = &waiting.request.account;
        if let Some(queue) = self.by_account.get_mut(account) {
            queue.count -= 1;
            if queue.count == 0 {
                self.by_account.remove(account);
            }
        }
        Some(waiting)
    }

    pub(super) fn get(&self, id: PlacementId) -> Option<&Waiting> {
        self.by_key.get(self.keys.get(&id)?)
    }

    /// Waiting long prompts in queue order.
    pub(super) fn iter_long(&self) -> impl Iterator<Item = &Waiting> {
        let first = QueuePosition::FIRST_LONG;
        self.by_key.range((first, 0)..).map(|(_, w)| w)
    }

    /// Number of waiting requests before a position in the queue, counted up to a bound.
    pub(super) fn count_before(&self, position: QueuePosition) -> usize {
        let before = self.by_key.range(..(position, 0));
        before.take(MAX_COUNTED).count()
    }

    /// Number of waiting requests before a position whose first event can still be on time, counted
    /// up to a bound.
    pub(super) fn count_on_time_before(&self, now: Instant, position: QueuePosition) -> usize {
        let before = self.by_key.range(..(position, 0)).take(MAX_COUNTED);
        before
            .filter(|(_, w)| w.request.first_event_by > now)
            .count()
    }

    /// Priorities of the waiting requests, the most urgent first.
    pub(super) fn priorities(&self) -> BTreeSet<u8> {
        self.by_key.keys().map(|(p, _)| p.priority).collect()
    }

    /// Whether a short prompt waits; short prompts are at the begin of the queue.
    pub(super) fn has_short(&self) -> bool {
        let first = self.by_key.first_key_value();
        first.is_some_and(|((position, _), _)| !position.is_long)
    }

    /// Whether a long prompt waits; long prompts are at the end of the queue.
    pub(super) fn has_long(&self) -> bool {
        let last = self.by_key.last_key_value();
        last.is_some_and(|((position, _), _)| position.is_long)
    }

    /// Returns the waiting requests of a client account.
    pub(super) fn account_queue(&self, account: &ClientAccount) -> Option<AccountQueue> {
        self.by_account.get(account).copied()
    }

    pub(super) fn contains(&self, id: PlacementId) -> bool {
        self.keys.contains_key(&id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.by_key.values()
    }

    pub(super) fn len(&self) -> usize {
        self.by_key.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    pub(super) fn retain_nodes(&mut self, mut keep: impl FnMut(u64) -> bool) {
        let gone: Vec<PlacementId> = self
            .keys
            .keys()
            .filter(|id| !keep(id.node))
            .copied()
            .collect();
        for id in gone {
            self.remove(id);
        }
    }
}
