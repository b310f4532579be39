//! Load generator. Its callers look up node addresses, send requests, verify every token, and
//! resume interrupted answers through other nodes.

mod address_book;
mod caller;
mod outcome;
mod prompts;
mod report;
mod run;

pub use caller::{Caller, CallerRequest};
pub use outcome::{Outcome, OutcomeKind};
pub use prompts::make_prompt;
pub use report::{LengthClass, LoadSummary};
pub use run::{LoadPlan, RequestProfile, run_load};
