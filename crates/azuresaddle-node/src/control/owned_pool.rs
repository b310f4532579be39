//! A pool that this node owns.

use std::collections::HashMap;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::{Grant, Pool, Refusal};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::peer::ReserveReply;

/// Time within which the targets of a newly acquired pool are expected to list their streams.
const LISTING_GRACE: Duration = Duration::from_secs(2);

/// The scheduler of a pool, with the calls and attempts that depend on it.
#[derive(Debug)]
pub(super) struct OwnedPool {
    pub(super) pool: Pool,
    pub(super) epoch: Epoch,
    /// Calls that wait for a decision.
    pub(super) waiters: HashMap<StreamId, Waiter>,
    /// Current grants, for nodes that repeat a call because its reply was lost.
    pub(super) grants: HashMap<StreamId, Grant>,
    /// Refusals that no call was waiting for, with their time.
    pub(super) refusals: HashMap<StreamId, (Refusal, Instant)>,
    /// When a node last reported that it waits for or relays an attempt.
    pub(super) last_in_use: HashMap<StreamId, Instant>,
    /// Attempts that are being cancelled on their targets, with the start of the cancellation.
    pub(super) cancelling: HashMap<StreamId, Instant>,
    /// When each target last listed its streams to this owner; targets that have not are absent.
    pub(super) listed: HashMap<HostName, Instant>,
    /// Sequence number of the last cache event applied for each target.
    pub(super) cache_sequences: HashMap<HostName, u64>,
    /// When this node acquired the pool.
    pub(super) since: Instant,
    /// Whether the pool is being handed over; it makes no decisions meanwhile.
    pub(super) handing_over: bool,
}

/// A call that waits for a decision.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) reply: oneshot::Sender<ReserveReply>,
    pub(super) since: Instant,
}

impl OwnedPool {
    pub(super) fn new(now: Instant, pool: Pool, epoch: Epoch) -> Self {
        Self {
            pool,
            epoch,
            waiters: HashMap::new(),
            grants: HashMap::new(),
            refusals: HashMap::new(),
            last_in_use: HashMap::new(),
            cancelling: HashMap::new(),
            listed: HashMap::new(),
            cache_sequences: HashMap::new(),
            since: now,
            handing_over: false,
        }
    }

    /// Whether the ledger counts as complete: every target has listed its streams, or
    /// [`LISTING_GRACE`] has passed.
    pub(super) fn is_ready(&self, now: Instant) -> bool {
        let mut names = self.pool.target_names();
        now - self.since > LISTING_GRACE || names.all(|name| self.listed.contains_key(name))
    }

    /// Replies to every waiting call that this node does not own the pool.
    pub(super) fn reply_not_owner(&mut self) {
        for (_, waiter) in self.waiters.drain() {
            let _ = waiter.reply.send(ReserveReply::NotOwner);
        }
    }

    /// Removes an attempt that has ended.
    pub(super) fn remove_attempt(&mut self, stream: StreamId) {
        self.grants.remove(&stream);
        self.last_in_use.remove(&stream);
        self.cancelling.remove(&stream);
    }
}
