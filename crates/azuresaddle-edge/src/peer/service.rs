//! RPC service that every node provides to the others.
#![allow(missing_docs, reason = "tarpc generates items without documentation")]

use azuresaddle_platform::StorePosition;

use super::messages::{
    PeerState, PeerUpdate, PermitReply, PermitRequest, PlaceMessage, PlaceReply, StreamReport,
    SyncMessage,
};

/// Calls between nodes. A call is encoded by its place in this list, so new ones come last.
#[tarpc::service]
pub(crate) trait EdgePeer {
    /// Requests engines for a stream. Answers when the stream may be sent or is refused.
    async fn place(message: PlaceMessage) -> PlaceReply;
    /// Requests a permit to send one request to a plain target that has a rate limit.
    async fn permit(req: PermitRequest) -> PermitReply;
    /// Reports events of streams.
    async fn report(reports: Vec<StreamReport>);
    /// Sends the complete list of a node's streams.
    async fn sync(sync: SyncMessage);
    /// Returns the configuration, if newer than the version `configuration`, and the changes of targets after the
    /// position `targets`; all targets for `None`. Nodes of earlier builds call it, and provide nothing else.
    async fn updates(configuration: u64, targets: Option<StorePosition>) -> PeerUpdate;
    /// The same with the drained failure domains. Answers nothing if it is sending too many complete answers; another
    /// node may be asked then.
    async fn state_since(configuration: u64, targets: Option<StorePosition>) -> Option<PeerState>;
    /// The same as `place` for a stream whose priority differs from the default.
    async fn place_ranked(message: PlaceMessage, priority: u8) -> PlaceReply;
}
