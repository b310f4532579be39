//! Which requests are kept from all targets, since they crash whichever runs them.
//!
//! Answers the load of one request that comes again at any node and ends a target each time, together with
//! the streams of other callers there. A target that ends is held against every request that it had, so the
//! others on it are suspects for a while. What tells them apart: their good ends elsewhere, each of which counts for
//! less than a crash; that another request on the same target has more against it; and how many targets end without
//! the request.

mod crash;
mod evidence;
mod recent;
mod record;
mod state;

pub use crash::{Crash, CrashStatus, SuccessfulRun, TargetIncarnation};
pub use recent::{RecentSuccessfulRuns, SURVIVAL_TIME};
pub use record::RequestStatus;
pub use state::Quarantine;
