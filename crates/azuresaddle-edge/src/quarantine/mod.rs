//! Requests that crash their targets, as traffic and control share them.

mod quarantined_request;
mod shared;
mod update;

pub use quarantined_request::QuarantinedRequest;
pub(crate) use shared::SharedQuarantine;
pub(crate) use update::CrashUpdate;
