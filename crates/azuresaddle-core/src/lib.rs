//! Types shared by all azuresaddle crates: identifiers, verdicts, rules, deployment data, the
//! network abstraction and HTTP helpers.
//!
//! Scheduling and routing decisions are made in the other crates, which import the common types
//! through [`prelude`].

pub mod bounded_time;
pub mod bounded_tokens;
pub mod burn;
pub mod byte_budget;
pub mod deployment;
pub mod fingerprint;
pub mod host_list;
pub mod http;
pub mod losses;
pub mod names;
pub mod net;
pub mod panics;
pub mod pool_id;
pub mod prelude;
pub mod problem;
pub mod prompt;
pub mod request_id;
pub mod rules;
pub mod spawner;
pub mod stream_id;
pub mod task_failure;
pub mod verdict;
pub mod version;
