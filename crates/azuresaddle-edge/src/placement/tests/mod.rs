//! Tests of placement at the owner.

mod admission_log;
mod demand;
mod dispatches;
mod handover;
mod permits;
mod ranked_calls;
