//! Read-only state of a pool for placement decisions.

use azuresaddle_core::deployment::EngineSpec;
use slotmap::SlotMap;
use tokio::time::Instant;

use super::demand_phase::DemandPhase;
use super::engine::{Engine, EngineKey};
use super::options::PassOptions;

/// The state of a pool at one moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct PoolView<'a> {
    pub(super) now: Instant,
    pub(super) spec: &'a EngineSpec,
    pub(super) engines: &'a SlotMap<EngineKey, Engine>,
    pub(super) options: &'a PassOptions,
    pub(super) phase: DemandPhase,
}
