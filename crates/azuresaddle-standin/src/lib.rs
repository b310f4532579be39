//! Stand-ins for the platform and the targets, a load generator, a demo and an experiment tool.
//!
//! Every stand-in is a small process with flags, a seed, and faults that are switched over HTTP
//! while it runs. The same code runs on an in-memory network in tests.

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
