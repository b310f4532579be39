//! Nodes and targets in snapshots.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::deployment::{TargetEntry, TargetStart, TargetState};
use azuresaddle_core::prelude::*;
use azuresaddle_sched::addresses::LoadLevel;

use crate::snapshot::LiveNode;

/// A node on the loopback address that accepts callers and has no load.
pub(crate) fn live_node(incarnation: u64) -> LiveNode {
    LiveNode {
        incarnation,
        callers_addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        peer_addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 2)),
        takes_callers: true,
        domain: 0,
        cpu_milli: 250,
        is_watching: false,
        load: LoadLevel::Normal,
    }
}

/// A target of the service `svc` that is ready, with 16 slots.
pub(crate) fn ready_target(name: &str, addr: SocketAddr) -> TargetEntry {
    TargetEntry {
        id: HostName::new(name),
        service: Arc::from("svc"),
        addr,
        domain: FailureDomain::new("d1"),
        state: TargetState::Ready,
        slots: 16,
        cold_for: Duration::ZERO,
        started: TargetStart(1),
        sequence: 1,
    }
}
