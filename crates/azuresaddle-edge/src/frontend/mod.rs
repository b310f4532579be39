//! Serves callers' connections: enforces limits, finds the route and the account, then forwards the request.

mod admission;
mod connection;
mod connection_activity;
mod guarded_body;
mod head_buffer;
mod listener;
mod service;
#[cfg(test)]
mod tests;

pub(crate) use listener::serve_callers;
pub(crate) use service::CallerService;
