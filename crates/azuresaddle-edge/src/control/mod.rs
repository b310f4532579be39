//! Control: what this node believes of the configuration, the targets and the other nodes.

mod actor;
mod claims;
mod crash_spread;
mod crash_writer;
mod crashes;
mod heartbeat;
mod members;
mod news;
mod publish;
mod registry;
mod spread;
mod store_watch;
mod succession;
#[cfg(test)]
mod tests;

pub(crate) use actor::{Control, ControlParts};
