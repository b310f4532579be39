//! Tests of forwarding, without sockets.

mod broken_sends;
mod event_splitter;
mod head;
mod plain_connect;
mod problem;
mod retry_budget;
mod send_gate;
