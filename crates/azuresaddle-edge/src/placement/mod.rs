//! Which engines run a stream: the owner of the pools decides, every node asks it.

mod client;
mod owner;
mod reporter;

pub(crate) use client::{PlaceRequest, Placed, Placement, PlacementParts};
pub(crate) use owner::Owner;
