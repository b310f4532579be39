//! Messages to the control task.

use azuresaddle_core::host_list::HostList;
use azuresaddle_core::prelude::*;
use azuresaddle_sched::Outcome;
use azuresaddle_store::{Changes, LeaseId, OwnerRecord, RulesRecord, StoreError};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::engine::wire::{CacheListing, LoadReport, StreamList};
use crate::peer::{Heartbeat, HeartbeatReply, Report, ReserveReply, ReserveRequest, TakeOver};

/// A message to the control task.
#[derive(Debug)]
pub enum Command {
    /// A node requests a reservation.
    Reserve(Box<ReserveRequest>, oneshot::Sender<ReserveReply>),
    /// This node requests a placement for a pool without a reachable owner.
    Fallback(Box<ReserveRequest>, oneshot::Sender<ReserveReply>),
    /// A node reports events of attempts.
    Reports(Vec<Report>),
    /// A node now relays an answer that another node started.
    TakeOver(TakeOver),
    /// Another node sent a heartbeat.
    Heartbeat(Heartbeat, oneshot::Sender<HeartbeatReply>),
    /// Another node replied to this node's heartbeat.
    HeartbeatAnswered(HostName, HeartbeatReply),
    /// The host list was read.
    Hosts(HostList),
    /// The store's watch returned.
    StoreChanges(Changes),
    /// Rules fetched from another node; the default record if the fetch failed.
    Rules(Box<RulesRecord>),
    /// The lease was granted or renewed; the time is when the call was sent.
    LeaseHeld(LeaseId, Instant),
    /// The lease has expired in the store.
    LeaseExpired(LeaseId),
    /// Result of acquiring a pool: its current owner record.
    Acquired(PoolId, Result<OwnerRecord, StoreError>),
    /// Result of releasing a pool; true if the store has recorded it.
    HandedOver(PoolId, bool),
    /// Result of a load poll of a target; `None` if it did not answer.
    Load(HostName, Option<LoadReport>),
    /// Streams listed by a target; the time is when the call was sent.
    StreamListing(HostName, StreamList, Instant),
    /// Full listing of a target's prefix cache.
    CacheListing(HostName, CacheListing),
    /// Events of a target's prefix cache, in order.
    CacheEvents(HostName, Vec<azuresaddle_sched::CacheEvent>),
    /// All targets confirmed that they hold nothing for a cancelled stream.
    CancelConfirmed(PoolId, StreamId, Outcome),
    /// Some target has not confirmed the cancellation of a stream.
    CancelUnconfirmed(PoolId, StreamId),
    /// The process was requested to stop.
    Stop,
}

impl Command {
    /// Whether a new snapshot must be published at once; other changes wait for the next tick.
    pub(super) fn needs_immediate_publish(&self) -> bool {
        !matches!(
            self,
            Self::Reserve(..)
                | Self::Fallback(..)
                | Self::Reports(_)
                | Self::TakeOver(_)
                | Self::Heartbeat(..)
                | Self::Load(..)
                | Self::CacheEvents(..)
                | Self::CacheListing(..)
                | Self::CancelConfirmed(..)
                | Self::CancelUnconfirmed(..)
        )
    }
}
