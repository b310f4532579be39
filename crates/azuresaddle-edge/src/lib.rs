//! The node on the platform: takes callers' requests and relays them to targets that register
//! themselves.
//!
//! Control (one thread) knows the configuration, the targets and the other nodes, and publishes a
//! [`snapshot`]. Traffic (another thread) forwards requests by it and never waits for control.

mod control;
mod directory;
mod forward;
mod frontend;
mod metrics;
mod node;
mod operator_endpoints;
mod peer;
mod placement;
mod quarantine;
mod signals;
mod snapshot;
mod targets;

pub use node::{Node, NodeOptions, OpenError};
pub use operator_endpoints::{BURN_PATH, QUARANTINE_PATH};
pub use quarantine::QuarantinedRequest;
