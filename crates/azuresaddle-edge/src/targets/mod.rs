//! Connections to targets and what this node has seen of them itself.

mod back_offs;
mod connection_pool;
mod health;
#[cfg(test)]
mod tests;

pub(crate) use connection_pool::{ConnectError, Connection, ConnectionPool};
pub(crate) use health::{InFlightGuard, TargetHealth};
