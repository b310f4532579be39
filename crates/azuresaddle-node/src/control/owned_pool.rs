//! A pool that this node owns.

use std::collections::HashMap;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::{Grant, Pool, Refusal};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::peer::ReserveReply;

/// Time for the targets of a newly owned pool to list their streams.
const LISTING_GRACE: Duration = Duration::from_secs(2);

/// A pool with the requests of other nodes that wait for its decisions.
#[derive(Debug)]
pub(super) struct OwnedPool {
    pub(super) pool: Pool,
    pub(super) epoch: Epoch,
    /// Calls that wait for a decision.
    pub(super) waiters: HashMap<StreamId, Waiter>,
    /// Grants in force, for nodes that ask again since an answer was lost.
    pub(super) grants: HashMap<StreamId, Grant>,
    /// Refusals that no call was waiting for.
    pub(super) refusals: HashMap<StreamId, (Refusal, Instant)>,
    /// When a node last said that it waits for or relays an attempt.
    pub(super) last_in_use: HashMap<StreamId, Instant>,
    /// Attempts that are being cancelled on their targets.
    pub(super) cancelling: HashMap<StreamId, Instant>,
    /// Targets whose streams were listed since this node owns the pool.
    pub(super) listed: HashMap<HostName, Instant>,
    /// Position in the cache events of each target.
    pub(super) cache_sequences: HashMap<HostName, u64>,
    /// Since when this node owns the pool.
    pub(super) since: Instant,
    /// The pool is being handed over and decides nothing more.
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

    /// Whether the ledger is complete: every target was listed, or had its time to answer.
    pub(super) fn is_ready(&self, now: Instant) -> bool {
        let mut names = self.pool.target_names();
        now - self.since > LISTING_GRACE || names.all(|name| self.listed.contains_key(name))
    }

    /// Answers every waiting call that this node decides no more.
    pub(super) fn reply_not_owner(&mut self) {
        for (_, waiter) in self.waiters.drain() {
            let _ = waiter.reply.send(ReserveReply::NotOwner);
        }
    }

    /// Forgets an attempt that has ended.
    pub(super) fn forget(&mut self, stream: StreamId) {
        self.grants.remove(&stream);
        self.last_in_use.remove(&stream);
        self.cancelling.remove(&stream);
    }
}
