//! Policies of placement on engines that work in passes, side by side in virtual time.
//!
//! The product's [`azuresaddle_sched::passes::PassPool`] runs unchanged against a model of the
//! engines, beside baselines and beside itself with single ideas switched off. The same seed gives
//! the same figures.

mod baseline;
mod credit;
mod engine;
mod placers;
mod plot;
mod policy;
mod sheet;
mod sheets;
mod troubles;
mod world;

pub use credit::{DayResults, KindResults};
pub use engine::{EngineModel, PassEnd};
pub use placers::Placers;
pub use plot::plot_worth;
pub use policy::PassPolicy;
pub use sheet::{FLOODING, KindOfRequest, Sheet, SheetRequest, draw_requests};
pub use troubles::{CutOff, Flood, SlowEngines, Span, SplitOwner, Stall, Troubles};
pub use world::play_day;
