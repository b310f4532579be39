//! Remote procedure calls between nodes, over tarpc.

mod clients;
mod messages;
mod server;
mod service;

pub use clients::PeerClients;
pub use messages::{
    Heartbeat, HeartbeatReply, Report, ReportKind, ReserveReply, ReserveRequest, TakeOver,
};
pub use server::serve_peers;
pub use service::{Peer, PeerClient};
