//! HTTP client and server helpers on top of hyper.

mod body;
mod client;
mod error;
mod peer_ip;
mod request_sender;
mod respond;
mod response_head;
mod server;
#[cfg(test)]
mod tests;

pub use body::{Body, BodyError, full, read_limited};
pub use client::{HttpClient, read_json};
pub use error::HttpError;
pub use peer_ip::PeerIp;
pub use request_sender::{RequestSender, SendError};
pub use respond::{json, problem};
pub use response_head::InvalidHead;
pub use server::{Handler, ServerLimits, serve};
