//! Stand-ins that speak the platform's published protocol: its store, engines that generate tokens in
//! passes, plain services, and a caller that verifies the answers.

mod body;
mod caller;
mod configuration;
mod crashing_requests;
mod demo;
mod engine;
mod plain;
mod raw;
mod raw_answer;
mod runs;
mod signals;
mod stand_in;
mod store;
mod store_server;
mod store_state;
mod target;
mod undo_log;

pub use caller::{Answer, Caller, CallerError, CallerRequest};
pub use configuration::{AccountSpec, ConfigurationSpec, RouteSpec, ServiceSpec};
pub use crashing_requests::{CrashCause, CrashingRequests};
pub use demo::{PlatformDemoReport, run_platform_demo};
pub(crate) use plain::{LONG_BODY_BYTES, LONG_PATH};
pub use raw::{Arrival, Arrivals, ProtocolFault};
pub use raw_answer::{RawAnswer, RawConnections, RawEnd};
pub use runs::{AttemptRuns, Runs};
pub use signals::Signals;
pub(crate) use stand_in::REWRITE_TIME;
pub use stand_in::{
    ConfigurationWriter, PlatformOptions, StandInPlatform, StoreRollback, draining_entry,
};
pub use store::{PlatformStoreModel, StoreFault};
pub use target::{ArrivedRequest, TargetFault, TargetHandle};
