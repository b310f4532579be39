//! What a target says of itself.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::names::{FailureDomain, HostName};

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// Takes new work.
    Ready,
    /// Finishes what it has.
    Draining,
}

/// One incarnation of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEntry {
    /// Name of the incarnation; a restart has another.
    pub id: HostName,
    /// Service that it offers.
    pub service: Arc<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Failure domain of its host.
    pub domain: FailureDomain,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: TargetState,
}
