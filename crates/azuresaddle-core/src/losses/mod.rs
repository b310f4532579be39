//! Report of requests that lost worth because they were late, refused or failed, from the logs of
//! all nodes.
//!
//! A node logs its decisions about a request and how the request ended. The combined lines of all
//! nodes tell whether each request was served on time and, if not, why.

mod line;
mod reason;
mod report;
mod request;

pub use reason::Reason;
pub use report::{LossReport, ReasonTotals, SecondTotals, SizeClass};
