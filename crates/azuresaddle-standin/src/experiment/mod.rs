//! Compares policies in virtual time, on the runtime's paused clock.
//!
//! The product's [`azuresaddle_sched::Pool`] runs unchanged against a model of the engines. It is
//! compared with baselines and with itself, with single mechanisms switched off. The same seed gives
//! the same output.

mod arrivals;
mod catalog;
mod engine_model;
mod immediate;
mod mix;
mod plot;
mod policy;
mod results;
mod scheduler;
mod simulation;

pub use arrivals::{Request, generate_requests};
pub use catalog::{Experiment, ExperimentRow, run_experiment};
pub use mix::{AccountMix, EngineMix, Fault, FaultKind, LengthMix, Mix};
pub use plot::plot_first_tokens;
pub use policy::Policy;
pub use results::{ClassResults, MAX_SHORT_TOKENS, Results};
pub use simulation::simulate;
