//! Tests of relaying, without sockets.

mod answer;
mod breaks;
mod event_splitter;
mod head;
mod retry_budget;
