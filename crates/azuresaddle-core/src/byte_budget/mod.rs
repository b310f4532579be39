//! The byte budget of a node: an upper bound on what it buffers for callers and targets that do not read.
//!
//! It addresses hundreds of callers or targets that read slowly or stop reading at the same time, on hosts whose
//! processes are killed above a memory limit.

mod account_budget;
mod budget;
mod held_bytes;
mod held_for;
mod permit;
mod read;
#[cfg(test)]
mod tests;

pub use account_budget::AccountBudget;
pub use budget::ByteBudget;
pub use held_bytes::HeldBytes;
pub use held_for::HeldFor;
pub use permit::Permit;
pub use read::{ReadError, ReadLimits, WhenFull, read_held};
