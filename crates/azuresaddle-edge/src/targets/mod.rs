//! Connections to targets, and their health as this node observes it.

mod back_offs;
mod connection_pool;
mod health;
mod send_observations;
#[cfg(test)]
mod tests;

pub(crate) use connection_pool::{ConnectError, Connection, ConnectionPool};
pub(crate) use health::{InFlightGuard, TargetHealth};
pub(crate) use send_observations::SendObservations;
