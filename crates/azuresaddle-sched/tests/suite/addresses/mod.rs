//! Selection of the addresses that callers are given.

mod changes;
mod fleet;
mod loads;
mod outages;
mod shares;
