//! Stand-ins for the platform's store, servers and clients, and control of node processes. Each case has a program of
//! its own in `src/bin`.

pub mod desk;
pub mod http;
pub mod node;
pub mod record;
pub mod store;
