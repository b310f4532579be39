//! Connections to targets and what this node has seen of them itself.

mod connections;
mod health;

pub(crate) use connections::{ConnectError, Connection, Connections};
pub(crate) use health::{Busy, TargetHealth};
