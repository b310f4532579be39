//! Tests of relaying, without sockets.

mod answer;
mod event_splitter;
mod head;
mod retry_budget;
