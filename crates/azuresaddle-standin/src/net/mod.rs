//! An in-memory network for tests with tokio's clock paused.

mod fabric;
mod memory;
mod stream;

pub use fabric::Fabric;
pub use memory::{MemoryListener, MemoryNetwork};
pub use stream::MemoryStream;
