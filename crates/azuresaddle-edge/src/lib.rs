//! The node on the platform: accepts requests from callers and forwards them to targets that register
//! themselves.
//!
//! Control runs on one thread: it keeps track of the configuration, the targets and the other nodes, and publishes
//! them in a [`snapshot`]. Traffic runs on another thread: it forwards requests according to the latest snapshot and
//! never waits for control.

mod control;
mod control_progress;
mod directory;
mod domain_hash;
mod ejected_target_info;
mod flow;
mod forward;
mod frontend;
mod metrics;
mod node;
mod operator_endpoints;
mod peer;
mod placement;
mod quarantine;
mod shutdown;
mod signals;
mod snapshot;
mod targets;
#[cfg(test)]
mod tests;
mod thread_watch;
mod tunnel;

pub use ejected_target_info::EjectedTargetInfo;
pub use node::{Node, NodeOptions, OpenError};
pub use operator_endpoints::{BURN_PATH, QUARANTINE_PATH, TARGETS_PATH};
pub use quarantine::QuarantinedRequest;
