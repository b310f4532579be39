//! Placement of streams on engines. One node, the owner of the pools, decides; all nodes send their requests to it.

mod admission_log;
mod client;
mod demand_reporter;
mod guard;
mod owner;
mod owner_silence;
mod owner_state;
mod permits;
mod place_request;
mod ranked_calls;
mod redirects;
mod reporter;
#[cfg(test)]
mod tests;

pub(crate) use client::{PlacementClient, PlacementClientParts};
pub(crate) use guard::PlacementGuard;
pub(crate) use owner::Owner;
pub(crate) use place_request::PlaceRequest;
