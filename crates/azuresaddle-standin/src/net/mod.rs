//! Networks for tests: one in memory for a paused clock, and TCP with partitions.

mod fabric;
mod memory;
mod partitioned;
mod stream;

pub use fabric::Fabric;
pub use memory::{MemoryListener, MemoryNetwork};
pub use partitioned::{PartitionedListener, PartitionedNetwork, PartitionedStream, PathLoss};
pub use stream::MemoryStream;
