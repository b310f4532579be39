//! The mix of demand that placement follows.

use super::forecast::{DemandForecast, Sort};

/// Fraction of the engines' time that prefill of medium and long prompts is expected to take, from
/// which long prompts compete for engines. Decoding and short prompts take most of the rest.
const MOSTLY_LONG_SHARE: f64 = 0.4;

/// The mix of demand that placement follows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum DemandPhase {
    /// There is no forecast, or it is not used.
    #[default]
    Unknown,
    /// Long prompts find engines without competing for them.
    Mixed,
    /// Long prompts compete for engines.
    MostlyLong,
}

impl DemandPhase {
    /// The phase that a forecast shows for a pool of `engines`.
    pub(super) fn of_forecast(forecast: &DemandForecast, engines: usize) -> Self {
        let work = forecast.work(Sort::Medium).zip(forecast.work(Sort::Long));
        let Some((medium, long)) = work else {
            return Self::Unknown;
        };
        let capacity_ms_per_s = engines.max(1) as f64 * 1000.0;
        if medium.per_s + long.per_s > MOSTLY_LONG_SHARE * capacity_ms_per_s {
            Self::MostlyLong
        } else {
            Self::Mixed
        }
    }
}
