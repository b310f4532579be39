//! Stand-in for the key-value store.

mod faults;
mod model;
mod server;

pub use faults::StoreFaults;
pub use model::{CallCounts, StoreModel};
pub use server::StoreServer;
