//! Tests of placement at the owner.

mod admission_log;
mod demand;
mod dispatches;
mod foreign_messages;
mod handover;
mod panics;
mod peer_network;
mod permits;
mod ranked_calls;
mod redirects;
mod repeated_requests;
mod reporter;
mod split_views;
mod test_fleet;
mod unreachable_owner;
