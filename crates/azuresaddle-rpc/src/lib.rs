//! Calls between nodes by tarpc: one connection a peer, a timeout a call.

mod clients;
mod error;
mod server;
mod transport;

pub use clients::RpcClients;
pub use error::RpcError;
pub use server::{ServerChannel, serve_rpc};
