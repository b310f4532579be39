//! Selection of the addresses that a caller is given.
//!
//! Serves fleets whose hosts differ in size, whose callers are in several failure domains, and that have more nodes
//! than one answer holds. There, one answer for all callers sends small hosts as much as large ones, leaves out some
//! nodes altogether, and most requests cross failure domains. Each caller therefore gets its own subset of the nodes,
//! by weighted rendezvous hashing over its key: subsets hold nodes in proportion to their weights, and a node that
//! joins or leaves changes only the answers that hold it or would hold it.

mod answer_size;
mod caller;
mod candidate;
mod group;
mod host_loads;
mod load_level;
mod load_meter;
mod role;
mod score;
mod select;

pub use caller::Caller;
pub use candidate::AddressCandidate;
pub use host_loads::{HostLoads, LEVEL_LIFETIME, REPEAT_INTERVAL, StatedLoad};
pub use load_level::LoadLevel;
pub use load_meter::LoadMeter;
pub use role::NodeRole;
pub use select::{MAX_ADDRESSES, needs_selection, select_addresses};
