//! Tests of the calls between nodes.

mod accept_failures;
mod reply_budget;
