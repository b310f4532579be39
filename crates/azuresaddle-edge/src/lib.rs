//! The node on the platform: accepts requests from callers and forwards them to targets that register
//! themselves.
//!
//! Control runs on one thread: it keeps track of the configuration, the targets and the other nodes, and publishes
//! them in a [`snapshot`]. Traffic runs on another thread: it forwards requests according to the latest snapshot and
//! never waits for control.

mod control;
mod directory;
mod flow;
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
