//! A pool that this node owns.

use std::collections::HashMap;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::{Grant, Pool, Refusal};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::peer::ReserveReply;

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
    pub(super) claimed: HashMap<StreamId, Instant>,
    /// Attempts that are being cancelled on their targets.
    pub(super) cancelling: HashMap<StreamId, Instant>,
    /// Targets whose streams were listed since this node owns the pool.
    pub(super) listed: HashMap<HostName, Instant>,
    /// Position in the cache events of each target.
    pub(super) cache_seen: HashMap<HostName, u64>,
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
    pub(super) fn new(pool: Pool, epoch: Epoch) -> Self {
        Self {
            pool,
            epoch,
            waiters: HashMap::new(),
            grants: HashMap::new(),
            refusals: HashMap::new(),
            claimed: HashMap::new(),
            cancelling: HashMap::new(),
            listed: HashMap::new(),
            cache_seen: HashMap::new(),
            handing_over: false,
        }
    }

    /// Answers every waiting call that this node decides no more.
    pub(super) fn dismiss(&mut self) {
        for (_, waiter) in self.waiters.drain() {
            let _ = waiter.reply.send(ReserveReply::NotOwner);
        }
    }

    /// Forgets an attempt that has ended.
    pub(super) fn forget(&mut self, stream: StreamId) {
        self.grants.remove(&stream);
        self.claimed.remove(&stream);
        self.cancelling.remove(&stream);
    }
}
