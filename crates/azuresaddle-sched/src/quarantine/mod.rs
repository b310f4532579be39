//! Which requests are kept from all targets, since they crash whichever runs them.
//!
//! Answers the load of one request that comes again at any node and ends a target each time, together with
//! the streams of other callers there. A target that ends is held against every request that it had, so the
//! others on it are suspects for a while; what tells them apart is that they come to a good end elsewhere.

mod crash;
mod ledger;
mod record;

pub use crash::{Crash, Learned, TargetLife};
pub use ledger::Quarantine;
pub use record::Standing;
