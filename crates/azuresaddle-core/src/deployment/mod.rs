//! What a deployment consists of: settings of a node, the configuration in force, its targets.
//!
//! Plain data with the project's own names; the adapter of a platform fills it in.

mod account;
mod bounds;
mod configuration;
mod engine_spec;
mod entry_settings;
mod request_limits;
mod route;
mod service;
mod target_entry;

pub use account::Account;
pub use bounds::Bounds;
pub use configuration::{Configuration, RouteMatch};
pub use engine_spec::EngineSpec;
pub use entry_settings::{EntrySettings, ListenAddrs};
pub use request_limits::RequestLimits;
pub use route::{Repeat, Route, WeightedService};
pub use service::Service;
pub use target_entry::{TargetEntry, TargetStart, TargetState};
