//! Where requests lost their worth, out of the logs of all nodes.
//!
//! A node logs what it decided about a request and how the request ended. Put together, the lines of
//! all nodes tell for each request whether it was served on time, and if not, what came between.

mod account;
mod line;
mod reason;
mod request;

pub use account::{Account, Row, Second, SizeClass};
pub use reason::Reason;
