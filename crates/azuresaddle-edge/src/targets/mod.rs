//! Connections to targets, and their health as this node observes it.

mod answer_time;
mod back_offs;
mod connect_silence;
mod connection_pool;
mod dialer;
mod health;
mod send_observations;
mod shared_paths;
mod target_stream;
#[cfg(test)]
mod tests;

pub(crate) use connection_pool::{ConnectError, Connection, ConnectionPool};
pub(crate) use dialer::TargetDialer;
pub(crate) use health::{InFlightGuard, TargetHealth};
pub(crate) use send_observations::SendObservations;
pub(crate) use shared_paths::SharedPaths;
