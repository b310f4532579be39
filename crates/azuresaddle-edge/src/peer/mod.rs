//! Calls between nodes.

mod messages;
mod reply_budget;
mod server;
mod service;
#[cfg(test)]
mod tests;

pub(crate) use messages::{
    PeerState, PermitReply, PermitRequest, PlaceMessage, PlaceReply, ReportKind, StreamReport,
    SyncMessage,
};
pub(crate) use server::serve_peers;
use service::{EdgePeerClient, EdgePeerRequest, EdgePeerResponse};

/// Keeps one connection to each other node.
pub(crate) type PeerClients<N> =
    azuresaddle_rpc::RpcClients<N, EdgePeerClient, EdgePeerRequest, EdgePeerResponse>;
