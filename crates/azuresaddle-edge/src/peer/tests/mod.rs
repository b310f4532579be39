//! Tests of the calls between nodes.

mod reply_budget;
