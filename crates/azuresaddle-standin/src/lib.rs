//! Stand-ins for the platform and the targets, a load generator, a demo and an experiment tool.
//!
//! Every stand-in is a small process that is configured by flags and a seed; its faults are
//! switched on and off over HTTP at run time. Tests run the same code on an in-memory network.

#![allow(
    clippy::disallowed_methods,
    reason = "stand-ins compute with numbers of their own and with flags"
)]

pub mod answer;
pub mod capacity;
pub mod cluster;
pub mod demo;
pub mod engine;
pub mod experiment;
pub mod hosts;
mod http_util;
pub mod load;
pub mod net;
pub mod passes;
pub mod platform;
pub mod rate_limit_check;
pub mod service;
pub mod soak;
pub mod store;
