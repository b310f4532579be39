//! Which requests are kept from all targets, since they crash whichever runs them.
//!
//! Answers the load of one request that comes again at any node and ends a target each time, together with
//! the streams of other callers there. A target that ends is held against every request that it had, so the
//! others on it are suspects for a while. What tells them apart: their good ends elsewhere, each of which counts for
//! less than a crash; that another request on the same target has more against it; and how many targets end without
//! the request.

mod crash;
mod evidence;
mod ledger;
mod recent;
mod record;

pub use crash::{Crash, GoodEnd, Learned, TargetLife};
pub use ledger::Quarantine;
pub use recent::{RecentGoodEnds, SURVIVAL};
pub use record::Standing;
