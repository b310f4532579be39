//! Callers' connections: limits, route, key, then the forwarder.

mod admission;
mod connection;
mod connection_clock;
mod guarded;
mod listener;
mod service;
mod stopping;

pub(crate) use listener::serve_callers;
pub(crate) use service::CallerService;
pub(crate) use stopping::Stopping;
