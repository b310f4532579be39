//! Control state of a node, changed by a single task.

mod actor;
mod cancel;
mod command;
mod handle;
mod heartbeats;
mod hosts;
mod lease;
mod live_streams;
mod owned_pool;
mod ownership;
mod peer_state;
mod reservations;
mod rules;
mod targets;

pub use actor::{Control, ControlParts};
pub use command::Command;
pub use handle::ControlHandle;
pub use live_streams::{LiveStreamGuard, LiveStreams};
