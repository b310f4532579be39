//! Tests of the control plane.

mod crash_gossip;
mod domain_drains;
mod failover;
mod fleet;
mod members;
mod registry;
mod signals;
mod store_model;
mod store_rollback;
mod store_watch;
mod target_record;
