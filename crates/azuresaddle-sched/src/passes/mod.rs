//! Placement of streams on engines that process their work in passes.
//!
//! A pass runs a fixed number of decode steps for all streams of the engine. Prompt parts that are
//! prefilled in the same pass make it longer for all of them, so placement decides which passes may
//! get longer and by how much.

mod admission;
mod demand_phase;
mod engine;
mod forecast;
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

pub use admission::RefusalCounts;
pub use forecast::{DemandForecast, Estimate, LevelChange, Sort};
pub use mechanism::Mechanism;
pub use options::PassOptions;
pub use pace::overdue_at;
pub use pool::{PassPool, PoolLoad};
pub use request::{
    DEFAULT_PRIORITY, PlacementDecision, PlacementGrant, PlacementId, PlacementRequest,
    RunningStream, StreamOutcome, Suspect,
};
