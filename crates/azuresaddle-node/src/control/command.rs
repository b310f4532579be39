//! What control is asked to do.

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
    /// A node asks for a reservation.
    Reserve(Box<ReserveRequest>, oneshot::Sender<ReserveReply>),
    /// This node's traffic asks for a placement without an owner.
    Fallback(Box<ReserveRequest>, oneshot::Sender<ReserveReply>),
    /// Nodes report what happened to attempts.
    Reports(Vec<Report>),
    /// A node relays what another began.
    TakeOver(TakeOver),
    /// Another node shows a sign of life.
    Heartbeat(Heartbeat, oneshot::Sender<HeartbeatReply>),
    /// Another node answered this node's heartbeat.
    HeartbeatAnswered(HostName, HeartbeatReply),
    /// The host list was read.
    Hosts(HostList),
    /// The store's watch returned.
    StoreChanges(Changes),
    /// Another node gave its rules.
    Rules(Box<RulesRecord>),
    /// The lease was granted or renewed by a call sent at that time.
    LeaseHeld(LeaseId, Instant),
    /// The lease has lapsed in the store.
    LeaseExpired(LeaseId),
    /// An attempt to own a pool ended.
    Acquired(PoolId, Result<OwnerRecord, StoreError>),
    /// An attempt to hand a pool over ended.
    HandedOver(PoolId, bool),
    /// A target answered a poll, or did not.
    Load(HostName, Option<LoadReport>),
    /// A target listed its streams at that time.
    StreamListing(HostName, StreamList, Instant),
    /// A target listed its prefix cache.
    CacheListing(HostName, CacheListing),
    /// A target's cache events.
    CacheEvents(HostName, Vec<azuresaddle_sched::CacheEvent>),
    /// A stream is known to be gone from its targets.
    CancelConfirmed(PoolId, StreamId, Outcome),
    /// No target confirmed that a stream is gone.
    CancelUnconfirmed(PoolId, StreamId),
    /// The process was told to stop.
    Stop,
}

impl Command {
    /// Whether traffic has to know of the change at once; other changes wait for the next tick.
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
