//! HTTP client and server helpers on top of hyper.

mod body;
mod client;
mod error;
mod peer_ip;
mod respond;
mod server;

pub use body::{Body, BodyError, full, read_limited};
pub use client::{HttpClient, read_json};
pub use error::HttpError;
pub use peer_ip::PeerIp;
pub use respond::{json, problem};
pub use server::{Handler, ServerLimits, serve};
