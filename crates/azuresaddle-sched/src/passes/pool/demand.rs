//! The demand for the pool and how placement follows it.

use tokio::time::Instant;

use super::PassPool;
use crate::passes::demand_phase::DemandPhase;
use crate::passes::forecast::{Estimate, LevelChange, Sort};

impl PassPool {
    /// Updates the phase that placement follows.
    pub(super) fn update_phase(&mut self, now: Instant) {
        if self.options.forecast {
            let engines = self.available_engines(now);
            self.phase = DemandPhase::of_forecast(&self.forecast, engines);
        }
    }

    /// Whether the pool uses a forecast of its demand.
    pub fn has_forecast(&self) -> bool {
        self.options.forecast
    }

    /// Expected arrivals per second of a sort of prompt; `None` without a forecast.
    pub fn expected_arrivals(&self, sort: Sort) -> Option<Estimate> {
        let used = self.options.forecast.then_some(&self.forecast);
        used.and_then(|f| f.rate(sort))
    }

    /// Returns the changes of the level of demand since the last call; none if the forecast is not
    /// used.
    pub fn take_level_changes(&mut self) -> Vec<LevelChange> {
        let changes = self.forecast.take_changes();
        if self.options.forecast {
            changes
        } else {
            Vec::new()
        }
    }
}
