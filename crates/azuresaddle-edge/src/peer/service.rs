//! The service that every node offers to the others.
#![allow(missing_docs, reason = "tarpc generates items without documentation")]

use azuresaddle_platform::StorePosition;

use super::messages::{
    PeerUpdate, PermitReply, PermitRequest, PlaceMessage, PlaceReply, StreamReport, SyncMessage,
};

/// Calls between nodes.
#[tarpc::service]
pub(crate) trait EdgePeer {
    /// Asks for engines; answers when the stream may be sent, or is refused.
    async fn place(message: PlaceMessage) -> PlaceReply;
    /// Asks whether a request may pass to a target that limits its rate.
    async fn permit(req: PermitRequest) -> PermitReply;
    /// Reports what happened to streams.
    async fn report(reports: Vec<StreamReport>);
    /// Tells all streams of a node.
    async fn sync(sync: SyncMessage);
    /// What is known from the store, beyond a version of the configuration and a position of the
    /// targets' changes; all of them for `None`.
    async fn updates(configuration: u64, targets: Option<StorePosition>) -> PeerUpdate;
}
