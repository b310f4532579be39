//! Requests that crash their targets, as traffic and control share them.

mod news;
mod shared;

pub(crate) use news::CrashNews;
pub(crate) use shared::SharedQuarantine;
