//! Measures how the cost of the control plane grows with nodes, targets, reservations and rules.

mod idle;
mod memory;
mod messages;

pub use idle::{IdleCost, measure_idle};
pub use memory::{MemoryCost, measure_memory};
pub use messages::{MessageSize, measure_messages};
