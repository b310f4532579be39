//! Tests of placement at the owner.

mod demand;
mod dispatches;
mod handover;
mod permits;
