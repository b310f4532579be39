//! Tunnels: connections of a node to a target through another node, for nodes that have lost their own path.
//!
//! The node that provides a tunnel connects to the target and copies bytes; it never uses a tunnel itself. The node that
//! asked speaks HTTP over the tunnel as over a direct connection, so everything that is decided about a request is
//! decided there. Bytes from the target are framed, so that an answer that ends with its connection is not taken for
//! complete when the tunnel breaks.

mod client;
mod messages;
mod server;
#[cfg(test)]
mod tests;

pub(crate) use client::{TunnelError, TunnelStream, open_tunnel};
pub(crate) use server::{TunnelServer, serve_tunnels};
