//! Where requests lost their worth, out of the logs of all nodes.
//!
//! A node logs what it decided about a request and how the request ended. Put together, the lines of
//! all nodes tell for each request whether it was served on time, and if not, what came between.

mod line;
mod reason;
mod report;
mod request;

pub use reason::Reason;
pub use report::{LossReport, ReasonTotals, SecondTotals, SizeClass};
