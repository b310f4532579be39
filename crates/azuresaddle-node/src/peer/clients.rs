//! Connections to other nodes.

use azuresaddle_rpc::RpcClients;

use super::service::{PeerClient, PeerRequest, PeerResponse};

/// Clients with one connection to each other node.
pub type PeerClients<N> = RpcClients<N, PeerClient, PeerRequest, PeerResponse>;
