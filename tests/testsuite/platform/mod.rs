//! Real node processes against a stand-in platform: store, targets and callers.

mod addresses;
mod burn;
mod cold_targets;
mod configuration;
mod configuration_from_nodes;
mod crashing_parts;
mod diagnostics;
mod domain_drains;
mod drains;
mod end_to_end;
mod essential_tasks;
mod faults;
mod foreign_entries;
mod late_changes;
mod malformed_input;
mod partitions;
mod quarantine_command;
mod repeats;
mod replaced_seeds;
mod signals;
mod silences;
mod soak;
mod store_return;
mod support;
mod target_health;
mod wire_faults;
