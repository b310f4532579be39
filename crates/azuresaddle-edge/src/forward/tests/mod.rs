//! Tests of relaying, without sockets.

mod event_splitter;
mod head;
mod retry_budget;
