//! Placement on engines that work in passes.
//!
//! A pass with writing streams runs a fixed number of token steps, and every prompt part that is
//! read in it makes the pass longer for all of them. So a placement is a question of which passes
//! may grow, and by how much.

mod engine;
mod long_candidates;
mod long_load;
mod long_plan;
mod mechanism;
mod options;
mod pace;
mod pool;
mod pool_view;
mod queue;
mod request;
mod short_load;
mod short_plan;

pub use mechanism::Mechanism;
pub use options::PassOptions;
pub use pool::{PassPool, PoolLoad};
pub use request::{
    PlacementDecision, PlacementGrant, PlacementId, PlacementRequest, RunningStream, StreamOutcome,
    Suspect,
};
