//! RPC between nodes on top of tarpc, with one connection per peer and a timeout for each call.

mod clients;
mod error;
mod server;
mod transport;

pub use clients::RpcClients;
pub use error::RpcError;
pub use server::{ServerChannel, serve_rpc};
