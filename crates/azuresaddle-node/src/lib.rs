//! The node: the one program on every entry host.
//!
//! Traffic runs on many threads; control state is kept by one task on a thread of its own. Control
//! publishes immutable [`snapshot::Snapshot`]s, traffic sends [`control::Command`]s.

pub mod control;
pub mod engine;
pub mod host_client;
pub mod metrics;
mod node;
pub mod peer;
pub mod settings;
pub mod snapshot;
pub mod traffic;

pub use node::{Node, OpenError};
pub use settings::{Settings, SettingsError};
