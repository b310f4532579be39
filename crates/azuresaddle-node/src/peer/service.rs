//! The service that every node offers to the others.
#![allow(missing_docs, reason = "tarpc generates items without documentation")]

use azuresaddle_core::burn::BurnCounts;

use super::messages::{Heartbeat, HeartbeatReply, Report, ReserveReply, ReserveRequest, TakeOver};

/// Calls between nodes.
#[tarpc::service]
pub trait Peer {
    /// Requests a reservation; waits a bounded time.
    async fn reserve(req: ReserveRequest) -> ReserveReply;
    /// Reports events of attempts.
    async fn report(reports: Vec<Report>);
    /// Reports that another node now relays an attempt.
    async fn take_over(take_over: TakeOver);
    /// Exchanges heartbeats.
    async fn heartbeat(heartbeat: Heartbeat) -> HeartbeatReply;
    /// Returns the rules in force, as JSON.
    async fn rules() -> String;
    /// Returns the node's counts for the service-level objectives.
    async fn burn() -> BurnCounts;
}
