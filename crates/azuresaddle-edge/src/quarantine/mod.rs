//! Requests that crash their targets, as traffic and control share them.

mod listed;
mod shared;
mod update;

pub use listed::QuarantinedRequest;
pub(crate) use shared::SharedQuarantine;
pub(crate) use update::CrashUpdate;
