//! Tests of the control plane.

mod candidates;
mod claims;
mod crash_gossip;
mod domain_drains;
mod failover;
mod fetch;
mod fleet;
mod foreign_datagrams;
mod health_fleet;
mod host_load_gossip;
mod host_use;
mod members;
pub(crate) mod memory_network;
mod node_entries;
mod registry;
mod running_nodes;
mod short_silences;
mod signals;
mod store_model;
mod store_rollback;
mod store_watch;
mod target_health;
mod target_record;
mod watchers;
