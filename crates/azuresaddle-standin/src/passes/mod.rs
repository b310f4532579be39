//! Compares placement policies for engines that work in passes, in virtual time.
//!
//! The product's [`azuresaddle_sched::passes::PassPool`] runs unchanged against a model of the
//! engines. It is compared with baselines and with itself, with single mechanisms switched off. The
//! same seed gives the same results.

mod baseline;
mod demand_shape;
mod engine;
mod faults;
mod plot;
mod policy;
mod pool_layout;
mod scoring;
mod simulation;
mod workload;
mod workloads;

pub use demand_shape::DemandShape;
pub use engine::{EngineModel, PassResult};
pub use faults::{Faults, Flood, IsolatedNodes, OwnerStall, SlowEngines, Span, SplitBrain};
pub use plot::plot_worth;
pub use policy::PassPolicy;
pub use pool_layout::PoolLayout;
pub use scoring::{DayResults, KindResults};
pub use simulation::simulate_day;
pub use workload::{RequestKind, UNSCORED_ACCOUNT, Workload, WorkloadRequest, generate_requests};
