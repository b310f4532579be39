//! Tests of placement at the owner.

mod dispatches;
mod handover;
mod permits;
