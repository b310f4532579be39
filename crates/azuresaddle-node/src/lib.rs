//! The node, which runs on every entry host.
//!
//! Requests are handled on many threads (`traffic`). All other state belongs to one task on its own
//! thread (`control`), which publishes immutable [`snapshot::Snapshot`]s; `traffic` sends it
//! [`control::Command`]s.

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
