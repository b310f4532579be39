//! Requests that crash their targets; shared by traffic and control.

mod quarantined_request;
mod shared;
mod update;

#[cfg(test)]
mod tests;

pub use quarantined_request::QuarantinedRequest;
pub(crate) use shared::SharedQuarantine;
pub(crate) use update::CrashUpdate;
