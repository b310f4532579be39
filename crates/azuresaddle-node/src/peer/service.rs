//! The service that every node offers to the others.
#![allow(missing_docs, reason = "tarpc generates items without documentation")]

use azuresaddle_core::burn::BurnCounts;

use super::messages::{Heartbeat, HeartbeatReply, Report, ReserveReply, ReserveRequest, TakeOver};

/// Calls between nodes.
#[tarpc::service]
pub trait Peer {
    /// Asks for a reservation; waits a bounded time.
    async fn reserve(req: ReserveRequest) -> ReserveReply;
    /// Reports what happened to attempts.
    async fn report(reports: Vec<Report>);
    /// Tells that another node relays an attempt.
    async fn take_over(take_over: TakeOver);
    /// Exchanges signs of life.
    async fn heartbeat(heartbeat: Heartbeat) -> HeartbeatReply;
    /// The rules in force, as JSON.
    async fn rules() -> String;
    /// Service-level counts of the node.
    async fn burn() -> BurnCounts;
}
