//! Data of a deployment: settings of a node, the active configuration and the targets.
//!
//! The types do not depend on a platform's formats; the platform's adapter fills them in.

mod account;
mod bounds;
mod configuration;
mod engine_spec;
mod features;
mod node_settings;
mod rate_limit;
mod request_limits;
mod route;
mod service;
mod target_entry;
mod target_signals;

pub use account::Account;
pub use bounds::Bounds;
pub use configuration::{Configuration, RouteMatch};
pub use engine_spec::EngineSpec;
pub use features::Features;
pub use node_settings::{ListenAddrs, NodeSettings};
pub use rate_limit::{InvalidRateLimit, RateLimit};
pub use request_limits::RequestLimits;
pub use route::{Idempotency, Route, WeightedService};
pub use service::Service;
pub use target_entry::{TargetEntry, TargetStart, TargetState};
pub use target_signals::TargetSignals;
