//! Requests that crash their targets, as traffic and control share them.

mod listed;
mod news;
mod shared;

pub use listed::QuarantinedRequest;
pub(crate) use news::CrashNews;
pub(crate) use shared::SharedQuarantine;
