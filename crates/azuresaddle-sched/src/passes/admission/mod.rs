//! Admission of requests that arrive faster than the engines can start them.
//!
//! Addresses seconds with several times as many short or long prompts as the engines can take, with
//! callers that retry. A request that waits in vain uses up its caller's time, so one that is not
//! expected to be served in time is refused when it arrives, with a time to retry at which capacity
//! is expected to be free.

mod refusal_counts;
mod retry_schedule;
mod start_rate;

pub use self::refusal_counts::RefusalCounts;
pub(super) use self::retry_schedule::{RetrySchedule, RetryWindow};
pub(super) use self::start_rate::StartRate;
