//! Quarantine of requests that crash the targets that run them.
//!
//! Guards against a request that is repeated at any node and crashes a target each time, together with the streams of
//! other callers there. Each crash of a target counts against every request that was running on it, so the others are
//! suspects for a while. The cause is distinguished by the successful runs of the others on other targets, each of which
//! weighs less than a crash; by stronger evidence against another request on the same target; and by the number of
//! targets that crash without the request.
//!
//! The cause may also be a part of the prompt that requests share of which no two are alike. Parts have records of their
//! own, and each request with a quarantined part is kept from targets. A prompt may have hundreds of parts: all of them are
//! looked up before a send, and a crash is held against the most suspicious ones.

mod attribution;
mod crash;
mod evidence;
mod explanations;
mod recent;
mod record;
mod state;

pub use attribution::{MAX_PARTS_PER_CRASH, parts_to_remember};
pub use crash::{Crash, CrashStatus, SuccessfulRun, TargetIncarnation};
pub use recent::{RecentSuccessfulRuns, SURVIVAL_TIME};
pub use record::RequestStatus;
pub use state::Quarantine;
