//! The operators' rules: an ordered list of when-then rules of which the first match applies.

mod check;
mod document;
mod explain;
mod facts;
mod rule;
mod stop;
mod then;
mod token_range;
mod when;

pub use check::{CheckReport, Finding, Severity, check};
pub use document::RulesDocument;
pub use explain::{Explanation, Mismatch, RuleOutcome};
pub use facts::RequestFacts;
pub use rule::Rule;
pub use stop::PlannedStop;
pub use then::{AccountLimits, PoolChoice, Refuse, Then};
pub use token_range::TokenRange;
pub use when::When;
