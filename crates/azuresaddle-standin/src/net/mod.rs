//! An in-memory network for tests on a paused clock.

mod fabric;
mod memory;
mod stream;

pub use fabric::Fabric;
pub use memory::{MemoryListener, MemoryNetwork};
pub use stream::MemoryStream;
