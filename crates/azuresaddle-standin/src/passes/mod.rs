//! Policies of placement on engines that work in passes, side by side in virtual time.
//!
//! The product's [`azuresaddle_sched::passes::PassPool`] runs unchanged against a model of the
//! engines, beside baselines and beside itself with single ideas switched off. The same seed gives
//! the same figures.

mod baseline;
mod engine;
mod faults;
mod plot;
mod policy;
mod pool_layout;
mod scoring;
mod simulation;
mod workload;
mod workloads;

pub use engine::{EngineModel, PassResult};
pub use faults::{Faults, Flood, IsolatedNodes, OwnerStall, SlowEngines, Span, SplitBrain};
pub use plot::plot_worth;
pub use policy::PassPolicy;
pub use pool_layout::PoolLayout;
pub use scoring::{DayResults, KindResults};
pub use simulation::simulate_day;
pub use workload::{RequestKind, UNSCORED_ACCOUNT, Workload, WorkloadRequest, generate_requests};
