//! Connections to targets, and their health as this node observes it.

mod back_offs;
mod connection_pool;
mod health;
#[cfg(test)]
mod tests;

pub(crate) use connection_pool::{ConnectError, Connection, ConnectionPool};
pub(crate) use health::{InFlightGuard, TargetHealth};
