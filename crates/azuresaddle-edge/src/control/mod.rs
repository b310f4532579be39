//! The control plane: this node's view of the configuration, the targets and the other nodes.

mod actor;
mod candidates;
mod crash_writer;
mod crashes;
mod datagrams;
mod domain_drain;
mod domain_drains;
mod era_probe;
mod failover;
mod failover_messages;
mod fetch;
mod gossip;
mod gossip_queue;
mod heartbeat;
mod host_capacity;
mod host_counters;
mod host_load_update;
mod host_loads;
mod host_use;
mod members;
mod own_load;
mod publish;
mod published_targets;
mod read_plan;
mod read_progress;
mod registry;
mod registry_drains;
mod registry_entry;
mod shared_health;
mod signal_records;
mod signals;
mod start_delay;
mod start_gate;
mod store_event;
mod store_events;
mod store_watch;
mod stored_crashes;
mod target_health;
mod target_record;
#[cfg(test)]
pub(crate) mod tests;
mod unheard_hosts;
mod watch_role;

pub(crate) use actor::{Control, ControlParts};
pub(crate) use domain_drain::DomainDrain;
pub(crate) use target_record::{TargetRecord, TargetUpdate};
